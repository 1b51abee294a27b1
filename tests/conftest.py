"""Pytest hooks and fixtures that the test files share.

Property tests run with fixed seeds, and the tests that are listed in
KNOWN-RED.txt are skipped.
"""

import pathlib
import sys
import tomllib
from collections import abc

import hypothesis
import pytest

from camphorstair_standins import fleet, sites

hypothesis.settings.register_profile(
    'repeatable',
    derandomize=True,
    deadline=None,
    database=None,
)
hypothesis.settings.load_profile('repeatable')

KNOWN_FAILURES_PATH = pathlib.Path(__file__).parents[1] / 'KNOWN-RED.txt'
# Without a fixed seed, hypothesis derives the seed from the source of the test,
# so that a reworded docstring would change the generated examples.
SEEDS_PATH = pathlib.Path(__file__).parent / 'hypothesis-seeds.toml'

SMALL_SITE = sites.Site(
    region='qc-est',
    data_centres=('levis-nord', 'levis-sud'),
    entries=1,
    endpoints={'redacteur': 1, 'comptoir': 1},
    rules=sites.LEVIS_RULES,
)


def _known_failures() -> set[str]:
    """Return the node ids of the tests that are known to fail."""
    if not KNOWN_FAILURES_PATH.exists():
        return set()
    lines = KNOWN_FAILURES_PATH.read_text().splitlines()
    return {line for line in lines if line.startswith('tests/')}


def _seed_property_tests(paths: set[str]) -> None:
    """Set the recorded seeds of the property tests in some files.

    :param paths: Paths of the test files, relative to the repository root.
    """
    for path, seeds in tomllib.loads(SEEDS_PATH.read_text()).items():
        if path in paths:
            module = sys.modules[pathlib.Path(path).stem]
            for name, seed in seeds.items():
                hypothesis.seed(int(seed, 16))(getattr(module, name))


def pytest_collection_modifyitems(
    items: list[pytest.Item],  # noqa: WPS110, a name set by pytest
) -> None:
    """Seed the property tests and skip the tests that are known to fail."""
    _seed_property_tests({item.nodeid.partition('::')[0] for item in items})
    known_failures = _known_failures()
    for item in items:
        if item.nodeid in known_failures:
            item.add_marker(pytest.mark.skip(reason='known red'))


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter,
) -> None:
    """Print the node ids of the tests that are known to fail."""
    for name in sorted(_known_failures()):
        terminalreporter.write_line(f'KNOWN RED, passed over: {name}')


@pytest.fixture(scope='module')
def small_fleet(
    tmp_path_factory: pytest.TempPathFactory,
) -> abc.Iterator[fleet.Fleet]:
    """Yield a running fleet and stop it after the module's last test."""
    directory: pathlib.Path = tmp_path_factory.mktemp('fleet')
    running = fleet.Fleet(directory, SMALL_SITE)
    try:
        running.start()
        yield running
    finally:
        running.processes.stop()
