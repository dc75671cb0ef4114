"""Plays the days of a scale run: each has faults or changes, measurements, and an audit at its end."""

import asyncio
import signal
import time
from collections.abc import Awaitable, Callable
from typing import Any

from msgspec.structs import replace

from whintrail.scale.measure import Delays, Reading, read_process, usage_samples
from whintrail.scale.plan import Act, Day
from whintrail.scale.results import Kind, Sample, sample
from whintrail.scale.rig import Rig, SizeError, now_us

LIST_TIMEOUT_S = 20.0  # until the last change of the list has reached all gateways
VERSION_TIMEOUT_S = 30.0  # until a proposed version is in force on all gateways
LEADER_TIMEOUT_S = 30.0  # until there is a new leader, and then new leases
LOAD_ANSWER_MARGIN_S = 30.0  # for the answer of a load phase, on top of the phase
RETRY_S = 0.5  # after a failed proposal
REGIONS_RATE = 0.74  # changes of the list a second during the partition: 64,000 a day
OMITTED_IF_ZERO = ("held_back_per_s", "subset_share", "list_share")  # not recorded if all values are 0
CPU_SHARE_TIMERS = {  # stored quantity: timers of a hollow gateway (`Meter.spent_ns`)
    "node_share": ("node_tick", "node_take", "node_flush"),
    "memo_share": ("module_memo",),
    "list_share": ("module_list",),
    "sweep_share": ("module_sweep",),
    "query_share": ("module_query",),
    "send_share": ("send",),
    "subset_share": ("subset",),
}
RATE_COUNTERS = {  # stored quantity: unit, counters of a hollow gateway (`Meter.calls`)
    "datagrams_out_per_s": ("datagrams/s", ("datagrams_out",)),
    "datagrams_in_per_s": ("datagrams/s", ("fleet_in", "memos_in")),
    "memo_datagrams_per_s": ("datagrams/s", ("memos_in",)),
    "bytes_out_per_s": ("bytes/s", ("bytes_out",)),
    "bytes_in_per_s": ("bytes/s", ("bytes_in",)),
    "probes_per_s": ("count", ("probes",)),
}


class DayPlayer:
    """Plays the days of one size and collects their samples."""

    def __init__(self, rig: Rig, log: Callable[..., None]) -> None:
        self.rig, self.log, self.size = rig, log, rig.size
        self.samples: list[Sample] = []
        self.lookup_cap = 1000  # of the last proposed version
        self.acts: dict[Act, Callable[[Day], Awaitable[None]]] = {
            "steady": self._play_steady,
            "changes": self._play_changes,
            "restarts": self._play_restarts,
            "machines": self._play_machines,
            "zone": self._play_zone,
            "regions": self._play_regions,
            "control": self._play_control,
        }

    def record(
        self, day: Day, quantity: str, unit: str, values: list[float], kind: Kind = "hollow", **more: Any
    ) -> None:
        if not values or (quantity in OMITTED_IF_ZERO and not any(values)):
            return
        new_sample = sample(quantity, unit, (self.size.gateways, self.size.engines), values, kind)
        self.samples.append(replace(new_sample, day=day.act, subset=self.size.subset, **more))

    async def play(self, day: Day) -> None:
        """Plays one day, records its samples, and audits the run so far."""
        breaches_before = len(self.rig.auditor.breaches)
        before, bulletin_before = await self.rig.host_statuses(), await self._read_bulletin()
        started = time.monotonic()
        await self.acts[day.act](day)
        after, took_s = await self.rig.host_statuses(), time.monotonic() - started
        followers = (await self.rig.bulletin.ask("state"))["followers"]
        sizes, note = (self.size.gateways, self.size.engines), f"{followers} processes follow it"
        bulletin_after = await self._read_bulletin()
        self.samples += usage_samples(
            bulletin_before, bulletin_after, sizes, "hollow", role="bulletin", day=day.act, note=note
        )
        self._record_costs(day, before, after)
        await self.rig.audit(LIST_TIMEOUT_S)
        breaches = self.rig.auditor.breaches[breaches_before:]
        note = "; ".join(breaches[:3])
        self.record(day, "breaches", "count", [float(len(breaches))], role="fleet", note=note[:300])
        self.log("day", day=day.act, took_s=round(took_s, 1), breaches=len(breaches), first=note[:200])

    # --- Costs of a day.

    async def _read_bulletin(self) -> dict[str, Reading]:
        traffic = {"bytes_out": (await self.rig.bulletin.ask("state"))["bytes_out"]}
        return {"bulletin": read_process(self.rig.bulletin.pid, traffic)}

    def _record_costs(self, day: Day, before: dict[str, Any], after: dict[str, Any]) -> None:
        """Records, by role, the costs of the processes and gateways that existed before and after the day."""
        by_role: dict[str, dict[str, list[float]]] = {}
        sent = received = 0
        for name in before.keys() & after.keys():
            old, new = before[name], after[name]
            seconds, gateways = (new["at_us"] - old["at_us"]) / 1e6, len(new["gateways"])
            if gateways == 0 or new["cpu_s"] < old["cpu_s"]:
                continue
            old_rows = {row["birth"]: row for row in old["gateways"]}
            leads = any(row["leads"] for row in new["gateways"])
            role = "leader" if leads else "gateway"
            is_council_member = name.startswith("control")  # in a process of its own
            role = "control machine" if is_council_member and not leads else role
            values_of_role = by_role.setdefault(role, {})

            def put(
                quantity: str, value: float, values_of_role: dict[str, list[float]] = values_of_role
            ) -> None:
                values_of_role.setdefault(quantity, []).append(value)

            put("control_cpu_share share", (new["cpu_s"] - old["cpu_s"]) / seconds / gateways)
            put("read_share share", (new["read_ns"] - old["read_ns"]) / 1e9 / seconds)
            put("rss_bytes bytes", new["rss_bytes"] / gateways)
            put("descriptors count", new["descriptors"] / gateways)
            put("loop_stall_ms ms", new["longest_stall_s"] * 1e3)
            for row in new["gateways"]:
                if (old_row := old_rows.get(row["birth"])) is None:
                    continue
                for quantity, names in CPU_SHARE_TIMERS.items():
                    spent = sum(row["spent_ns"].get(n, 0) - old_row["spent_ns"].get(n, 0) for n in names)
                    put(f"{quantity} share", spent / 1e9 / seconds)
                for quantity, (unit, names) in RATE_COUNTERS.items():
                    count = sum(row["calls"].get(n, 0) - old_row["calls"].get(n, 0) for n in names)
                    put(f"{quantity} {unit}", count / seconds)
                    sent += count * (quantity == "datagrams_out_per_s")
                    received += count * (quantity == "datagrams_in_per_s")
                held_back = row["counts"].get("held_back", 0) - old_row["counts"].get("held_back", 0)
                put("held_back_per_s datagrams/s", held_back / seconds)
                put("faults count", row["counts"]["faults"] - old_row["counts"]["faults"])
        for role, quantities in by_role.items():
            for quantity, values in quantities.items():
                name, unit = quantity.split()
                self.record(day, name, unit, values, role=role)
        if sent and day.act in ("steady", "changes"):  # other days lose the counters of killed gateways
            lost = 1 - received / sent
            self.record(day, "lost_share", "share", [lost], role="fleet", note="sent, not taken in")

    def _record_list_delays(self, day: Day) -> None:
        delays = Delays()
        for delay in self.rig.auditor.list_delays():
            delays.add(delay / 1e6)
        if len(delays):
            sizes = (self.size.gateways, self.size.engines)
            new_sample = delays.sample("list_apply_s", "s", sizes, "hollow", note="since the run began")
            self.samples.append(replace(new_sample, day=day.act, subset=self.size.subset))

    # --- Acts.

    async def _play_steady(self, day: Day) -> None:
        """Only time passes; with real gateways, first idle, then under load."""
        if not self.size.real:
            await self.rig.observe(day.seconds)
            return
        idle = await self.rig.real_readings()
        await self.rig.observe(day.seconds)
        before = await self.rig.real_readings()
        self._record_real_usage(day, idle, before, "idle")
        answer = await self.rig.clients.ask(
            "load",
            ports=self.rig.ports,
            rate=self.size.load_per_s,
            seconds=day.seconds,
            timeout_s=day.seconds + LOAD_ANSWER_MARGIN_S,
        )
        after = await self.rig.real_readings()
        note = f"at {self.size.load_per_s:g}/s each"
        self._record_real_usage(day, before, after, note)
        served, ends = answer["ends"].get("served", 0), answer["ends"]
        spent = sum(after[name].cpu_s - before[name].cpu_s for name in after)
        if served:
            cpu_us = spent / served * 1e6
            self.record(day, "query_cpu_us", "us", [cpu_us], kind="real", note=f"{note}, control in it")
            sizes, delays = (self.size.gateways, self.size.engines), Delays.merged([answer["delays"]])
            new_sample = delays.sample("query_p99_ms", "ms", sizes, "real", share=0.99, note=note)
            self.samples.append(replace(new_sample, day=day.act, subset=self.size.subset))
        lost = 1 - served / max(1, sum(ends.values()))
        ended = ", ".join(f"{end} {count}" for end, count in sorted(ends.items()))
        self.record(day, "not_served_share", "share", [lost], kind="real", note=f"{note}: {ended}")

    def _record_real_usage(
        self, day: Day, before: dict[str, Reading], after: dict[str, Reading], note: str
    ) -> None:
        sizes = self.size.gateways, self.size.engines
        for usage in usage_samples(before, after, sizes, "real", day=day.act, note=note):
            is_idle_cpu = note == "idle" and usage.quantity == "cpu_share"
            quantity = "control_cpu_share" if is_idle_cpu else usage.quantity
            self.samples.append(replace(usage, quantity=quantity, subset=self.size.subset))

    async def _measure_version(self, patience_s: float) -> tuple[float, str]:
        """Proposes a version: the seconds until all gateways act by it, or the reason of a failure."""
        auditor = self.rig.auditor
        since = now_us()
        self.lookup_cap += 1
        status, label = await self.rig.propose(self.lookup_cap)
        if status != "done":
            return 0.0, status
        if not await self.rig.wait_until(
            lambda: not auditor.gateways_not_acting_by(label, now_us()), patience_s
        ):
            missing = len(auditor.gateways_not_acting_by(label, now_us()))
            return 0.0, f"not in force on {missing} after {patience_s:.0f} s"
        return max(auditor.in_force_delays(label, since).values()) / 1e6, ""

    async def _play_changes(self, day: Day) -> None:
        """Changes the list `rate` times a second and proposes versions one after another."""
        end = time.monotonic() + day.seconds

        async def change_lists() -> None:
            due = time.monotonic()
            while due < end:
                await asyncio.sleep(max(0.0, due - time.monotonic()))
                await self.rig.change_list()
                due += 1 / day.rate

        changes_task = asyncio.get_running_loop().create_task(change_lists())
        delays_s: list[float] = []
        failures: list[str] = []
        try:
            while time.monotonic() < end:
                seconds, reason = await self._measure_version(VERSION_TIMEOUT_S)
                if reason:
                    failures.append(reason)
                    await self.rig.observe(RETRY_S)
                else:
                    delays_s.append(seconds)
            await changes_task
        finally:
            changes_task.cancel()
            await asyncio.gather(changes_task, return_exceptions=True)
        await self.rig.observe(0.5)
        self._record_list_delays(day)
        self.record(day, "version_in_force_s", "s", delays_s, note="one after another")
        note = "; ".join(failures[:2])[:200]
        self.record(day, "versions_failed", "count", [float(len(failures))], role="fleet", note=note)

    async def _play_restarts(self, day: Day) -> None:
        """Restarts `count` gateways one after another, each by a slot that it requests."""
        slots_s: list[float] = []
        failed = 0
        hollow = list(self.size.hollow_gateways)
        for number in self.rig.random.sample(hollow, min(day.count, len(hollow))):
            started = time.monotonic()
            restart = self.rig.host_of(number).ask("restart", number=number, wait_s=day.seconds)
            if await restart == "done":
                slots_s.append(time.monotonic() - started)
            else:
                failed += 1
            await self.rig.collect_events()
        await self.rig.wait_until_joined(self.size.join_s)
        self.record(day, "slot_s", "s", slots_s, note="asked until started anew, one at a time")
        self.record(day, "slots_failed", "count", [float(failed)], role="fleet")

    async def _play_machines(self, day: Day) -> None:
        """Kills `count` random gateways."""
        await self._kill_and_revive(day, self.rig.random.sample(list(self.size.hollow_gateways), day.count))

    async def _play_zone(self, day: Day) -> None:
        """Kills all hollow gateways of the last zone."""
        hollow = self.size.hollow_gateways
        last_zone = self.size.zone_of(hollow[-1])
        await self._kill_and_revive(day, [n for n in hollow if self.size.zone_of(n) == last_zone])

    async def _kill_and_revive(self, day: Day, numbers: list[int]) -> None:
        """Kills gateways at once; measures until all others consider them gone, then revives them and
        measures until all have joined again."""
        rig, auditor = self.rig, self.rig.auditor
        killed_at = now_us()
        await rig.kill(numbers)
        await rig.ask_hosts("watch", numbers=numbers)
        auditor.removal_reports.clear()
        remaining = set(auditor.gateways_up(now_us()))
        all_know = await rig.wait_until(lambda: remaining <= auditor.removal_reports.keys(), day.seconds)
        delays_s = sorted((when - killed_at) / 1e6 for when, _ in auditor.removal_reports.values())
        note = f"{len(numbers)} at once; {len(delays_s)} of {len(remaining)} came to know"
        if delays_s:
            self.record(day, "removal_known_s", "s", delays_s, note=note)
        if all_know:
            await rig.audit(LIST_TIMEOUT_S)  # while they are down
        started = time.monotonic()
        await rig.revive(numbers)
        await rig.wait_until_joined(self.size.join_s)
        self.record(day, "rejoined_s", "s", [time.monotonic() - started], role="fleet", note=note)

    async def _play_regions(self, day: Day) -> None:
        """A partition between the first and the second third of the hollow gateways. Both sides still reach
        the control machines and all other gateways."""
        hollow = list(self.size.hollow_gateways)
        third = len(hollow) // 3
        first, second = hollow[:third], hollow[third : 2 * len(hollow) // 3]
        await self.rig.ask_hosts("cut", numbers=first, others=second)
        await self.rig.ask_hosts("cut", numbers=second, others=first)
        await self._play_changes(replace(day, rate=REGIONS_RATE))
        rows = await self.rig.gateway_statuses()
        wrongly_gone = [float(len(row["gone"])) for row in rows]
        self.record(day, "taken_for_gone", "count", wrongly_gone, note="while apart; all are up")
        await self.rig.ask_hosts("cut", numbers=hollow, others=[])
        started = time.monotonic()
        await self.rig.wait_until_joined(self.size.join_s)
        self.record(day, "rejoined_s", "s", [time.monotonic() - started], role="fleet")

    async def _play_control(self, day: Day) -> None:
        """Kills the leader and, once a new one is known to all, stops that one with SIGSTOP for a while."""
        rig, auditor = self.rig, self.rig.auditor
        leader = await rig.find_leader()
        name, at = f"control{leader}", now_us()
        await rig.hosts[name].kill()
        auditor.record_down(leader, at)
        await self._record_new_leader(day, at, "killed")
        started = time.monotonic()
        await rig.start_host(name, [leader])
        await rig.wait_until_joined(self.size.join_s)
        rejoined_s = time.monotonic() - started
        self.record(day, "rejoined_s", "s", [rejoined_s], role="leader", note="started anew")
        leader = await rig.find_leader()
        child, at = rig.hosts[f"control{leader}"], now_us()
        rig.stopped_pids.add(child.pid)
        child.signal(signal.SIGSTOP)
        auditor.record_stopped(leader, at)
        try:
            await self._record_new_leader(day, at, "stopped")
            await rig.observe(max(0.0, day.seconds - (now_us() - at) / 1e6))
        finally:
            auditor.record_continued(leader, now_us())
            child.signal(signal.SIGCONT)
            rig.stopped_pids.discard(child.pid)
        await rig.wait_until_joined(self.size.join_s)

    async def _record_new_leader(self, day: Day, at: int, cause: str) -> None:
        """Waits until another gateway leads and all running gateways have new leases; records both times
        since the leader was lost, at `at`."""
        auditor = self.rig.auditor

        def has_new_leader() -> bool:
            return any(leads and when > at for when, _, leads in auditor.leader_changes)

        if not await self.rig.wait_until(has_new_leader, LEADER_TIMEOUT_S):
            raise SizeError(
                f"{self.size.name}: no new leader {LEADER_TIMEOUT_S:.0f} s after the leader was {cause}"
            )
        elected_at = min(when for when, _, leads in auditor.leader_changes if leads and when > at)
        note = f"leader {cause}"
        self.record(day, "led_anew_s", "s", [(elected_at - at) / 1e6], role="fleet", note=note)

        def are_leases_renewed() -> bool:
            now = now_us()
            stopped = {n for n, spans in auditor.stopped_spans.items() if spans[-1].end > now}
            holders = {n for n, spans in auditor.leased_rules.items() if spans and spans[-1].end > now}
            renewed = all(n in holders for n in auditor.gateways_up(now) if n not in stopped)
            return renewed and now - elected_at > auditor.max_overlap_us

        started = now_us()
        if await self.rig.wait_until(are_leases_renewed, LEADER_TIMEOUT_S):
            self.record(day, "leases_anew_s", "s", [(now_us() - at) / 1e6], role="fleet", note=note)
        else:
            self.log("leases are not renewed", after_s=(now_us() - started) / 1e6)
