"""The days of a scale run: each a small plan of timed acts, what is measured of it, and the audit after."""

import asyncio
import signal
import time
from collections.abc import Callable
from typing import Any

from msgspec.structs import replace

from whintrail.scale.measure import Delays, Reading, read_process, usage_samples
from whintrail.scale.plan import Day
from whintrail.scale.results import Kind, Sample, sample
from whintrail.scale.rig import Rig, SizeError, now_us

LIST_TIMEOUT_S = 20.0  # for the last change of the list to reach everybody
OMITTED_IF_ZERO = ("held_back_per_s", "subset_share", "list_share")  # not told where all are 0
CPU_SHARE_TIMERS = {
    "node_share": ("node_tick", "node_take", "node_flush"),
    "memo_share": ("module_memo",),
    "list_share": ("module_list",),
    "sweep_share": ("module_sweep",),
    "query_share": ("module_query",),
    "send_share": ("send",),
    "subset_share": ("subset",),
}
RATE_COUNTERS = {
    "datagrams_out_per_s": ("datagrams/s", ("datagrams_out",)),
    "datagrams_in_per_s": ("datagrams/s", ("fleet_in", "memos_in")),
    "memo_datagrams_per_s": ("datagrams/s", ("memos_in",)),
    "bytes_out_per_s": ("bytes/s", ("bytes_out",)),
    "bytes_in_per_s": ("bytes/s", ("bytes_in",)),
    "probes_per_s": ("count", ("probes",)),
}


class DayPlayer:
    def __init__(self, rig: Rig, log: Callable[..., None]) -> None:
        self.rig, self.log, self.size = rig, log, rig.size
        self.samples: list[Sample] = []
        self.lookup_cap = 1000

    def record(
        self, day: Day, quantity: str, unit: str, values: list[float], kind: Kind = "hollow", **more: Any
    ) -> None:
        if not values or (quantity in OMITTED_IF_ZERO and not any(values)):
            return
        one = sample(quantity, unit, (self.size.gateways, self.size.engines), values, kind)
        self.samples.append(replace(one, day=day.act, subset=self.size.subset, **more))

    async def play(self, day: Day) -> None:
        before_breaches = len(self.rig.auditor.breaches)
        before, carried, began = await self.rig.host_statuses(), await self._read_bulletin(), time.monotonic()
        await getattr(self, f"_{day.act}")(day)
        after, took = await self.rig.host_statuses(), time.monotonic() - began
        followers = (await self.rig.bulletin.ask("state"))["followers"]
        sizes, note = (self.size.gateways, self.size.engines), f"{followers} processes follow it"
        now = await self._read_bulletin()
        self.samples += usage_samples(carried, now, sizes, "hollow", role="bulletin", day=day.act, note=note)
        self._record_costs(day, before, after)
        await self.rig.audit(LIST_TIMEOUT_S)
        breaches = self.rig.auditor.breaches[before_breaches:]
        note = "; ".join(breaches[:3])
        self.record(day, "breaches", "count", [float(len(breaches))], role="fleet", note=note[:300])
        self.log("day", day=day.act, took_s=round(took, 1), breaches=len(breaches), first=note[:200])

    # --- What it cost.

    async def _read_bulletin(self) -> dict[str, Reading]:
        told = {"bytes_out": (await self.rig.bulletin.ask("state"))["bytes_out"]}
        return {"bulletin": read_process(self.rig.bulletin.pid, told)}

    def _record_costs(self, day: Day, before: dict[str, Any], after: dict[str, Any]) -> None:
        """Of processes and gateways that were there before and after, by role."""
        by_role: dict[str, dict[str, list[float]]] = {}
        out = heard = 0
        for name in before.keys() & after.keys():
            old, new = before[name], after[name]
            seconds, there = (new["at_us"] - old["at_us"]) / 1e6, len(new["gateways"])
            if there == 0 or new["cpu_s"] < old["cpu_s"]:
                continue
            then = {row["birth"]: row for row in old["gateways"]}
            leads = any(row["leads"] for row in new["gateways"])
            role = "leader" if leads else "gateway"
            apart = name.startswith("control")  # a member of the council, in its own process
            role = "control machine" if apart and not leads else role
            here = by_role.setdefault(role, {})

            def put(quantity: str, value: float, here: dict[str, list[float]] = here) -> None:
                here.setdefault(quantity, []).append(value)

            put("control_cpu_share share", (new["cpu_s"] - old["cpu_s"]) / seconds / there)
            put("read_share share", (new["read_ns"] - old["read_ns"]) / 1e9 / seconds)
            put("rss_bytes bytes", new["rss_bytes"] / there)
            put("descriptors count", new["descriptors"] / there)
            put("loop_stall_ms ms", new["longest_stall_s"] * 1e3)
            for row in new["gateways"]:
                if (first := then.get(row["birth"])) is None:
                    continue
                for quantity, names in CPU_SHARE_TIMERS.items():
                    spent = sum(row["spent_ns"].get(n, 0) - first["spent_ns"].get(n, 0) for n in names)
                    put(f"{quantity} share", spent / 1e9 / seconds)
                for quantity, (unit, names) in RATE_COUNTERS.items():
                    count = sum(row["calls"].get(n, 0) - first["calls"].get(n, 0) for n in names)
                    put(f"{quantity} {unit}", count / seconds)
                    out += count * (quantity == "datagrams_out_per_s")
                    heard += count * (quantity == "datagrams_in_per_s")
                held = row["counts"].get("held_back", 0) - first["counts"].get("held_back", 0)
                put("held_back_per_s datagrams/s", held / seconds)
                put("faults count", row["counts"]["faults"] - first["counts"]["faults"])
        for role, quantities in by_role.items():
            for quantity, values in quantities.items():
                name, unit = quantity.split()
                self.record(day, name, unit, values, role=role)
        if out and day.act in ("steady", "changes"):  # else those that were killed took counts with them
            self.record(
                day, "lost_share", "share", [1 - heard / out], role="fleet", note="sent, not taken in"
            )

    def _record_list_delays(self, day: Day) -> None:
        delays = Delays()
        for delay in self.rig.auditor.list_delays():
            delays.add(delay / 1e6)
        if len(delays):
            sizes = (self.size.gateways, self.size.engines)
            one = delays.sample("list_apply_s", "s", sizes, "hollow", note="since the run began")
            self.samples.append(replace(one, day=day.act, subset=self.size.subset))

    # --- Acts.

    async def _play_steady(self, day: Day) -> None:
        if not self.size.real:
            await self.rig.observe(day.seconds)
            return
        idle = await self.rig.real_readings()
        await self.rig.observe(day.seconds)
        before = await self.rig.real_readings()
        self._record_real_usage(day, idle, before, "idle")
        asked = self.rig.clients.ask(
            "load",
            ports=self.rig.ports,
            rate=self.size.load_per_s,
            seconds=day.seconds,
            timeout_s=day.seconds + 30,
        )
        told = await asked
        after = await self.rig.real_readings()
        note = f"at {self.size.load_per_s:g}/s each"
        self._record_real_usage(day, before, after, note)
        served, ends = told["ends"].get("served", 0), told["ends"]
        spent = sum(after[name].cpu_s - before[name].cpu_s for name in after)
        if served:
            self.record(
                day, "query_cpu_us", "us", [spent / served * 1e6], kind="real", note=f"{note}, control in it"
            )
            sizes, delays = (self.size.gateways, self.size.engines), Delays.merged([told["delays"]])
            one = delays.sample("query_p99_ms", "ms", sizes, "real", share=0.99, note=note)
            self.samples.append(replace(one, day=day.act, subset=self.size.subset))
        lost = 1 - served / max(1, sum(ends.values()))
        ended = ", ".join(f"{end} {count}" for end, count in sorted(ends.items()))
        self.record(day, "not_served_share", "share", [lost], kind="real", note=f"{note}: {ended}")

    def _record_real_usage(
        self, day: Day, before: dict[str, Reading], after: dict[str, Reading], note: str
    ) -> None:
        sizes = self.size.gateways, self.size.engines
        for one in usage_samples(before, after, sizes, "real", day=day.act, note=note):
            idle = note == "idle" and one.quantity == "cpu_share"
            name = "control_cpu_share" if idle else one.quantity
            self.samples.append(replace(one, quantity=name, subset=self.size.subset))

    async def _measure_version(self, patience_s: float) -> tuple[float, str]:
        """One version proposed, until all act by it: seconds, or why not."""
        auditor = self.rig.auditor
        since = now_us()
        self.lookup_cap += 1
        word, name = await self.rig.propose(self.lookup_cap)
        if word != "done":
            return 0.0, word
        if not await self.rig.wait_until(
            lambda: not auditor.gateways_not_acting_by(name, now_us()), patience_s
        ):
            return (
                0.0,
                f"not in force on {len(auditor.gateways_not_acting_by(name, now_us()))} after {patience_s:.0f} s",
            )
        return max(auditor.in_force_delays(name, since).values()) / 1e6, ""

    async def _play_changes(self, day: Day) -> None:
        end = time.monotonic() + day.seconds

        async def lists() -> None:
            due = time.monotonic()
            while due < end:
                await asyncio.sleep(max(0.0, due - time.monotonic()))
                await self.rig.change_list()
                due += 1 / day.rate

        changing = asyncio.get_running_loop().create_task(lists())
        took: list[float] = []
        failed: list[str] = []
        try:
            while time.monotonic() < end:
                seconds, why = await self._measure_version(30.0)
                if why:
                    failed.append(why)
                    await self.rig.observe(0.5)
                else:
                    took.append(seconds)
            await changing
        finally:
            changing.cancel()
            await asyncio.gather(changing, return_exceptions=True)
        await self.rig.observe(0.5)
        self._record_list_delays(day)
        self.record(day, "version_in_force_s", "s", took, note="one after another")
        note = "; ".join(failed[:2])[:200]
        self.record(day, "versions_failed", "count", [float(len(failed))], role="fleet", note=note)

    async def _play_restarts(self, day: Day) -> None:
        """One after another, each by a slot that it asks for."""
        slots: list[float] = []
        failed = 0
        chosen = self.rig.random.sample(
            list(self.size.hollow_gateways), min(day.count, len(self.size.hollow_gateways))
        )
        for number in chosen:
            began = time.monotonic()
            asked = self.rig.host_of(number).ask("restart", number=number, wait_s=day.seconds)
            if await asked == "done":
                slots.append(time.monotonic() - began)
            else:
                failed += 1
            await self.rig.collect_events()
        await self.rig.wait_until_joined(self.size.join_s)
        self.record(day, "slot_s", "s", slots, note="asked until started anew, one at a time")
        self.record(day, "slots_failed", "count", [float(failed)], role="fleet")

    async def _play_machines(self, day: Day) -> None:
        await self._kill_and_revive(day, self.rig.random.sample(list(self.size.hollow_gateways), day.count))

    async def _play_zone(self, day: Day) -> None:
        last = self.size.zone_of(self.size.hollow_gateways[-1])
        await self._kill_and_revive(
            day, [n for n in self.size.hollow_gateways if self.size.zone_of(n) == last]
        )

    async def _kill_and_revive(self, day: Day, numbers: list[int]) -> None:
        """Killed at once; until all know, and until all are back and known."""
        rig, auditor = self.rig, self.rig.auditor
        at = now_us()
        await rig.kill(numbers)
        await rig.ask_hosts("watch", numbers=numbers)
        auditor.removal_reports.clear()
        everybody = set(auditor.gateways_up(now_us()))
        known = await rig.wait_until(lambda: everybody <= auditor.removal_reports.keys(), day.seconds)
        times = sorted((when - at) / 1e6 for when, _ in auditor.removal_reports.values())
        note = f"{len(numbers)} at once; {len(times)} of {len(everybody)} came to know"
        if times:
            self.record(day, "removal_known_s", "s", times, note=note)
        if known:
            await rig.audit(LIST_TIMEOUT_S)  # with those down
        began = time.monotonic()
        await rig.revive(numbers)
        await rig.wait_until_joined(self.size.join_s)
        self.record(day, "rejoined_s", "s", [time.monotonic() - began], role="fleet", note=note)

    async def _play_regions(self, day: Day) -> None:
        """Two parts of the hollow ones apart, while both hear the control machines and the rest."""
        hollow = list(self.size.hollow_gateways)
        one, other = hollow[: len(hollow) // 3], hollow[len(hollow) // 3 : 2 * len(hollow) // 3]
        await self.rig.ask_hosts("cut", numbers=one, others=other)
        await self.rig.ask_hosts("cut", numbers=other, others=one)
        await self._play_changes(replace(day, rate=0.74))
        rows = await self.rig.gateway_statuses()
        wrongly = [float(len(row["gone"])) for row in rows]
        self.record(day, "taken_for_gone", "count", wrongly, note="while apart; all are up")
        await self.rig.ask_hosts("cut", numbers=hollow, others=[])
        began = time.monotonic()
        await self.rig.wait_until_joined(self.size.join_s)
        self.record(day, "rejoined_s", "s", [time.monotonic() - began], role="fleet")

    async def _play_control(self, day: Day) -> None:
        """The leader killed, and once all have another, that one stopped for a while."""
        rig, auditor = self.rig, self.rig.auditor
        leader = await rig.find_leader()
        name, at = f"control{leader}", now_us()
        await rig.hosts[name].kill()
        auditor.record_down(leader, at)
        await self._record_new_leader(day, at, "killed")
        began = time.monotonic()
        await rig.start_host(name, [leader])
        await rig.wait_until_joined(self.size.join_s)
        self.record(day, "rejoined_s", "s", [time.monotonic() - began], role="leader", note="started anew")
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
        auditor = self.rig.auditor

        def led() -> bool:
            return any(leads and when > at for when, _, leads in auditor.leader_changes)

        if not await self.rig.wait_until(led, 30.0):
            raise SizeError(f"{self.size.name}: nobody leads 30 s after the leader was {cause}")
        when = min(when for when, _, leads in auditor.leader_changes if leads and when > at)
        self.record(day, "led_anew_s", "s", [(when - at) / 1e6], role="fleet", note=f"leader {cause}")

        def leased() -> bool:
            now = now_us()
            stopped = {n for n, spans in auditor.stopped_spans.items() if spans[-1].end > now}
            held = {n for n, spans in auditor.leased_rules.items() if spans and spans[-1].end > now}
            renewed = all(n in held for n in auditor.gateways_up(now) if n not in stopped)
            return renewed and now - when > auditor.max_overlap_us

        began = now_us()
        if await self.rig.wait_until(leased, 30.0):
            self.record(
                day, "leases_anew_s", "s", [(now_us() - at) / 1e6], role="fleet", note=f"leader {cause}"
            )
        else:
            self.log("leases are not back", after_s=(now_us() - began) / 1e6)
