"""Which tests run one after another, in one worker, where `make test` runs the others beside them."""

import pytest

pytest_plugins = ["tests.known_red"]

# They start processes, or hold events on real sockets to times of the machine's clock: two at once would only
# measure one another.
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


@pytest.hookimpl(tryfirst=True)  # before the workers read the groups
def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    for item in items:
        if item.path.stem in SERIAL_TEST_MODULES:
            item.add_marker(pytest.mark.xdist_group("processes"))
