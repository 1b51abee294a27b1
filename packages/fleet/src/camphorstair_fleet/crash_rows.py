"""Reads the reports of crashes that entries and agents write to the store."""

import msgspec

from camphorstair_core.fleet import crash_reports, store_copy
from camphorstair_fleet import keys
from camphorstair_platform import fields
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
    :raises fields.FormatError: if the value can't be decoded.
    """
    if item.content is None:
        return
    try:
        reports = msgspec.json.decode(
            item.content, type=tuple[crash_reports.CrashReport, ...]
        )
    except msgspec.DecodeError as error:
        raise fields.FormatError(f'invalid reports: {error}') from error
    reporter = item.key.removeprefix(keys.CRASHES_PREFIX)
    is_own = reporter == own_name
    for report in reports:
        if is_own and crash_reports.has_report(history, reporter, report.crash):
            continue
        crash_reports.add_report(
            history, reporter, report, clocks.monotonic_s()
        )
