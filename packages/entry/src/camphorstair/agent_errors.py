"""Convert an agent's refusals and failures to errors for the caller."""

import types

from camphorstair_core import errors, messages, verdicts

_MS_IN_S = 1000
_REFUSALS = types.MappingProxyType(
    {
        errors.leaving.name: errors.leaving,
        errors.not_owner.name: errors.not_owner,
    },
)
_KEY_FAILURES = types.MappingProxyType(
    {
        errors.may_have_run.name: errors.may_have_run,
        errors.key_reused.name: errors.key_reused,
    },
)


def refused(refusal: messages.RequestRefused) -> errors.RequestError:
    """Return the error for a request that an agent refused.

    A refusal without a request identifier means that the agent closes the link
    without reading the request. It has then not looked up the idempotency key,
    so an earlier request with the same key may have run.
    """
    unread = not refusal.request_id
    return errors.RequestError(
        _REFUSALS.get(refusal.code, errors.overloaded),
        refusal.message,
        verdicts.Verdict.not_run,
        refusal.retry_after_ms / _MS_IN_S,
        key_unknown=unread or refusal.code == errors.not_owner.name,
        owner=refusal.owner,
    )


def key_error(
    failed: messages.ResponseFailed,
) -> errors.RequestError | None:
    """Return the error for a failure due to the idempotency key, or None.

    Such a failure has one of the codes in ``_KEY_FAILURES``.
    """
    code = _KEY_FAILURES.get(failed.code)
    if code is None:
        return None
    return errors.RequestError(code, failed.message, failed.verdict)
