"""States of the configuration model, its invariants and its goal."""

import enum

import attrs

OPERATORS = 2
PROCESSES = 2
CHANGES = 'ab'


class Mutant(enum.StrEnum):
    """Faults in the protocol; the checker must find a violation for each.

    The values name the faults in reports.
    """

    none = 'none'
    no_compare = 'no compare on the head'
    no_session = 'reads and writes on connections of their own'
    blind_retry = 'a lost answer is tried again'
    no_touch = 'a head as read counts as not accepted'
    accepts_lower = 'a process takes any other revision'
    processes_first = 'the processes are asked before the store is read'
    no_repair = 'an older copy is built upon'
    no_peers = 'processes ask the store only'


class Phase(enum.IntEnum):
    """Progress of an operator's change.

    :ivar idle: Not begun.
    :ivar read: The first of the two queries is done, to the store or to the
        processes.
    :ivar asked: Both queries are done.
    :ivar sent: The write is sent; its answer is outstanding.
    :ivar lost: The answer is lost or timed out.
    :ivar accepted: Reported to the operator as accepted.
    :ivar not_accepted: Reported as not accepted.
    :ivar unknown: Reported as of unknown outcome.
    """

    idle = 0
    read = 1
    asked = 2
    sent = 3
    lost = 4
    accepted = 5
    not_accepted = 6
    unknown = 7


@attrs.define(frozen=True)
class Head:
    """The configuration in the store.

    :ivar changes: The accepted changes, one character for each revision.
    :ivar number: Modification number that the platform raises at each write;
        writes compare it.
    """

    changes: str = ''
    number: int = 0


@attrs.define(frozen=True)
class Operator:
    """State of one operator, who applies one change.

    :ivar phase: Progress of the change.
    :ivar base: The head as read from the store; the change builds on it.
    :ivar highest: The configuration with the highest revision that a process
        reported.
    :ivar in_flight: Whether the write was sent and has not reached the store.
    """

    phase: Phase = Phase.idle
    base: Head = attrs.field(factory=Head)
    highest: str = ''
    in_flight: bool = False


@attrs.define(frozen=True)
class State:
    """State of the whole system.

    A configuration is represented by the string of changes that led to it;
    its revision is the length of this string.

    :ivar head: The configuration in the store.
    :ivar backup: A backup of the store; None before it is made and after it was
        restored.
    :ivar backup_made: Whether a backup was made.
    :ivar store_up: Whether the store answers.
    :ivar watcher: Number of the process that watches the store.
    :ivar restarted: Whether a process has restarted.
    :ivar operators: The operators, by number.
    :ivar in_force: The configuration in force at each process.
    :ivar lowered: Whether a process has changed to a lower revision.
    :ivar writes: How often each operator's change was accepted.
    """

    head: Head = attrs.field(factory=Head)
    backup: Head | None = None
    backup_made: bool = False
    store_up: bool = True
    watcher: int = 0
    restarted: bool = False
    operators: tuple[Operator, ...] = (Operator(),) * OPERATORS
    in_force: tuple[str, ...] = ('',) * PROCESSES
    lowered: bool = False
    writes: tuple[int, ...] = (0,) * OPERATORS


def no_conflicting_revisions(components: dict[str, State]) -> bool:
    """Return whether processes with the same revision have the same content.

    Configurations that both the store and all processes have lost are not
    compared.
    """
    in_force = set(components['state'].in_force)
    return len({len(changes) for changes in in_force}) == len(in_force)


def revision_never_lowered(components: dict[str, State]) -> bool:
    """Return whether no process has changed to a lower revision."""
    return not components['state'].lowered


def accepted_once(components: dict[str, State]) -> bool:
    """Return whether no change was accepted twice."""
    return max(components['state'].writes) <= 1


def outcomes_are_correct(components: dict[str, State]) -> bool:
    """Return whether each outcome reported to an operator is correct.

    A change reported as not accepted must not be in the store or in force
    anywhere; one reported as accepted must have been written.
    """
    state = components['state']
    configurations = (state.head.changes, *state.in_force)
    for number, operator in enumerate(state.operators):
        present = any(CHANGES[number] in changes for changes in configurations)
        if operator.phase is Phase.not_accepted and present:
            return False
        if operator.phase is Phase.accepted and not state.writes[number]:
            return False
    return True


def is_propagated(components: dict[str, State]) -> bool:
    """Return whether all processes have the same, latest configuration.

    While the store is down, its configuration may be newer than theirs.
    """
    state = components['state']
    if state.store_up and len(state.head.changes) > len(state.in_force[0]):
        return False
    return len(set(state.in_force)) == 1
