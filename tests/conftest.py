"""A small fleet of real processes that the tests of a module share."""

import pathlib
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

SMALL = sites.Site(
    region='qc-est',
    data_centres=('levis-nord', 'levis-sud'),
    entries=1,
    endpoints={'redacteur': 1, 'comptoir': 1},
    rules=sites.LEVIS_RULES,
)


@pytest.fixture(scope='module')
def small_fleet(
    tmp_path_factory: pytest.TempPathFactory,
) -> abc.Iterator[fleet.Fleet]:
    """Yield a running fleet and stop it after the module's tests."""
    directory: pathlib.Path = tmp_path_factory.mktemp('fleet')
    running = fleet.Fleet(directory, SMALL)
    try:
        running.start()
        yield running
    finally:
        running.processes.stop()
