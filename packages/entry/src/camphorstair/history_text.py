"""Formatting of the configuration history as text."""

import datetime

from camphorstair_core import changes


def entry(change: changes.Change) -> str:
    """Return the text of one accepted change, with its changed lines."""
    accepted_at = datetime.datetime.fromtimestamp(
        change.at_epoch_s,
        tz=datetime.UTC,
    )
    head = (
        f'revision {change.revision} from {change.base_revision}'
        f' by {change.operator or "unknown"} at {accepted_at:%Y-%m-%d %H:%M:%S} UTC'
        f' change {change.change_id}'
    )
    lines = [head]
    if change.requesters:
        lines.append(f'  requested by: {"; ".join(change.requesters)}')
    if change.note:
        lines.append(f'  {change.note}')
    lines.extend(f'  {line}' for line in change.changed_lines())
    if change.omitted:
        lines.append(f'  {change.omitted} more lines omitted')
    return '\n'.join(lines)
