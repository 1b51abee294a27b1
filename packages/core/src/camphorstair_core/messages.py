"""Messages between the processes of the system.

Every message is an attrs class. ``KINDS`` maps the type number used on the
wire to the class; a number is never reused for another class.
"""

import types

import attrs

from camphorstair_core import (
    changes,
    membership_messages,
    order_messages,
    verdicts,
    vm_lists,
    vms,
)


@attrs.define
class LoadReport:
    """The load of an endpoint as measured by its agent.

    :ivar in_flight: Number of requests in progress at the endpoint.
    :ivar limit: Current maximum of ``in_flight``.
    :ivar queued: Number of requests queued at the agent.
    :ivar cold: Whether the current limit is below the configured one.
    """

    in_flight: int = 0
    limit: int = 0
    queued: int = 0
    cold: bool = True


@attrs.define
class Hello:
    """First message of a connection.

    It is also sent as the heartbeat of a connection and as the reply to one.

    :ivar node: The sender's name.
    :ivar data_centre: The sender's data centre.
    :ivar revision: The configuration revision in force at the sender.
    :ivar leaving: Whether the sender shuts down.
    :ivar load: Load of the endpoint if the sender is an agent, else None.
    """

    node: str
    data_centre: str
    revision: int
    leaving: bool = False
    load: LoadReport | None = None


@attrs.define
class ConfigurationRequest:
    """Asks for the configuration if it is newer than a revision.

    :ivar above_revision: The revision in force at the sender; 0 if none.
    """

    above_revision: int


@attrs.define
class ConfigurationReply:
    """The configuration in force at the sender.

    :ivar revision: The revision in force; 0 if the sender has none.
    :ivar change_id: Identifier of the change that created the revision.
    :ivar text: The rules; None if the requester's copy is up to date or
        ``deltas`` are sent instead.
    :ivar deltas: The changes above the requester's revision, if the sender
        still has all of them.
    """

    revision: int
    change_id: str = ''
    text: str | None = None
    deltas: list[changes.Change] = attrs.field(factory=list)


@attrs.define
class RequestStart:
    """A caller's request, sent to an agent for its endpoint.

    :ivar request_id: Identifier of the request, the same in every attempt.
    :ivar attempt: Attempt number, from 1.
    :ivar service: The service that the request is for.
    :ivar organisation: The caller's organisation.
    :ivar priority: 0 (low) to 2 (high).
    :ivar idempotent: Whether the request may safely run more than once.
    :ivar idempotency_key: The caller's idempotency key; empty if none.
    :ivar method: HTTP method.
    :ivar path: HTTP path with query.
    :ivar headers: HTTP headers to forward to the endpoint.
    :ivar body: HTTP body.
    :ivar remaining_ms: Time left until the caller's deadline.
    :ivar after_event: Number of the last event that the caller received; 0
        for none.
    :ivar revision: The configuration revision in force at the entry.
    """

    request_id: str
    attempt: int
    service: str
    organisation: str
    priority: int
    idempotent: bool
    idempotency_key: str
    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes
    remaining_ms: int
    after_event: int = 0
    revision: int = 0


@attrs.define
class RequestRefused:
    """Refusal by the agent; nothing was sent to the endpoint.

    :ivar request_id: Identifier of the request.
    :ivar code: Error code.
    :ivar message: Description of the error.
    :ivar retry_after_ms: How long to wait before a retry.
    :ivar load: Load of the endpoint.
    :ivar revision: The configuration revision in force at the agent.
    :ivar owner: The endpoint that owns the request's key if it is not this
        agent's, else empty.
    """

    request_id: str
    code: str
    message: str
    retry_after_ms: int
    load: LoadReport
    revision: int = 0
    owner: str = ''


@attrs.define
class ResponseHead:
    """Status and headers of the endpoint's response."""

    request_id: str
    attempt: int
    status: int
    headers: list[tuple[str, str]]
    load: LoadReport


@attrs.define
class ResponseChunk:
    """A chunk of the body of the endpoint's response.

    :ivar sequence: Number of the chunk in this attempt, from 1.
    :ivar last_event: Number of the last event in the chunk; 0 if the response
        is not an event stream or no event has a number.
    :ivar body: The bytes of the chunk.
    :ivar first_event: Number of the first event in the chunk; 0 if no event
        has a number.
    """

    request_id: str
    attempt: int
    sequence: int
    last_event: int
    body: bytes
    first_event: int = 0


@attrs.define
class ResponseEnd:
    """End of a complete response.

    :ivar sequence: Number of chunks that preceded.
    """

    request_id: str
    attempt: int
    sequence: int
    load: LoadReport


@attrs.define
class ResponseFailed:
    """The endpoint's response failed and will not be completed."""

    request_id: str
    attempt: int
    verdict: verdicts.Verdict
    code: str
    message: str
    load: LoadReport


@attrs.define
class StatusRequest:
    """Asks a process for its state."""


@attrs.define
class NodeStatus:
    """State of a process; the reply to ``StatusRequest``.

    :ivar role: ``entry`` or ``agent``.
    :ivar service: The service behind an agent, else empty.
    :ivar refused: Why the process refused a newer configuration, else empty.
    :ivar control_bytes: Bytes sent and received since the process started,
        without callers' requests and their responses, and without TCP and IP
        headers.
    """

    node: str
    role: str
    data_centre: str
    revision: int
    leaving: bool
    load: LoadReport
    service: str = ''
    memory_bytes: int = 0
    processor_s: float = 0
    refused: str = ''
    control_bytes: int = 0


@attrs.define
class VmListRequest:
    """Asks for the VM list if it differs from the sender's version.

    :ivar digest: Digest of the sender's version; empty if it has none.
    """

    digest: str = ''


@attrs.define
class VmListReply:
    """The sender's version of the VM list.

    :ivar digest: Digest of the sender's version; empty if it has none.
    :ivar changes: The changes from the requester's version to the sender's.
    :ivar listed: The whole list; None if ``changes`` suffice.
    """

    digest: str
    changes: list[vm_lists.ListChange] = attrs.field(factory=list)
    listed: list[vms.Vm] | None = None


KINDS = types.MappingProxyType(
    {
        1: Hello,
        2: ConfigurationRequest,
        3: ConfigurationReply,
        4: RequestStart,
        5: RequestRefused,
        6: ResponseHead,
        7: ResponseChunk,
        8: ResponseEnd,
        9: ResponseFailed,
        10: StatusRequest,
        11: NodeStatus,
        40: VmListRequest,
        41: VmListReply,
        50: membership_messages.Heartbeat,
        51: membership_messages.Leaving,
        52: membership_messages.LeavingReply,
        60: order_messages.FenceRequest,
        61: order_messages.FenceReply,
        62: order_messages.Order,
        63: order_messages.OrderReply,
    },
)
