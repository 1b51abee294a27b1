"""Reads the reports of crashes that entries and agents write to the store."""

from camphorstair_core import decoding
from camphorstair_core.fleet import crash_reports, store_copy
from camphorstair_fleet import keys
from camphorstair_runtime import clocks


def apply_reports(
    history: crash_reports.CrashHistory,
    own_name: str,
    item: store_copy.Item,
) -> None:
    """Add the reports that a process has written to what is known.

    Reports that are gone from the store count until they expire. A process's
    own reports come from the one before it, or say less than it knows.

    :param history: What is known.
    :param own_name: Name of the VM of this process.
    :param item: The key of the reports.
    :raises decoding.FormatError: if the value can't be decoded.
    """
    if item.content is None:
        return
    reports = decoding.from_json(
        item.content, tuple[crash_reports.CrashReport, ...]
    )
    reporter = item.key.removeprefix(keys.CRASHES_PREFIX)
    is_own = reporter == own_name
    for report in reports:
        if is_own and crash_reports.has_report(history, reporter, report.crash):
            continue
        crash_reports.add_report(
            history, reporter, report, clocks.monotonic_s()
        )
