"""Names the test modules that run in one worker, one after another, while others run in parallel."""

import pytest

pytest_plugins = ["tests.known_red"]

# They start processes, or compare events on real sockets with the machine's clock: running two at once would
# distort the times that they measure.
SERIAL_TEST_MODULES = frozenset(
    [
        "test_class_names",
        "test_cli",
        "test_crossings",
        "test_early_signals",
        "test_fleet",
        "test_gateway",
        "test_known_red",
        "test_lay",
        "test_links",
        "test_log",
        "test_once",
        "test_other_customer",
        "test_parts_processes",
        "test_peers",
        "test_refusals",
        "test_reload",
        "test_rough_clients",
        "test_store",
        "test_subset_gateway",
        "test_timeline",
        "test_versions_processes",
    ]
)


@pytest.hookimpl(tryfirst=True)  # the workers read the groups after this
def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    for item in items:
        if item.path.stem in SERIAL_TEST_MODULES:
            item.add_marker(pytest.mark.xdist_group("processes"))
