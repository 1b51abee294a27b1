"""Specification of how configurations are accepted and propagated.

Two operators change the configuration in the platform's store. Two processes
adopt it, from the store if they watch it, or from each other.

Answers of the store may be lost and writes may be delayed. The store may
become unavailable, or be restored from a backup. The watching process may
change, and a process may restart.
"""

import typing
from collections import abc

import attrs
import minicheck

from specs import configuration_states as states

Step = tuple[str, states.State]
_CheckerState = tuple[states.State]
Steps = abc.Iterator[Step]


def protocol(mutant: states.Mutant = states.Mutant.none) -> minicheck.Protocol:
    """Return the model of the protocol.

    :param mutant: The fault to build in.
    """

    def transitions(
        checker_state: _CheckerState,
    ) -> list[tuple[str, _CheckerState]]:
        return [
            (name, (after,)) for name, after in _steps(checker_state[0], mutant)
        ]

    return minicheck.Protocol(
        name=f'configuration: {mutant}',
        candidate=False,
        fields=('state',),
        initial=(states.State(),),
        transitions=transitions,
        invariants={
            'one configuration a revision': states.no_conflicting_revisions,
            'no revision goes down': states.revision_never_lowered,
            'a change is accepted once': states.accepted_once,
            'an outcome is the truth': states.outcomes_are_correct,
        },
        goal=states.is_propagated,
    )


def _steps(state: states.State, mutant: states.Mutant) -> Steps:
    for number in range(states.OPERATORS):
        yield from _operator_steps(state, number, mutant)
    for process in range(states.PROCESSES):
        yield from _process_steps(state, process, mutant)
    yield from _failures(state, mutant)


def _failures(state: states.State, mutant: states.Mutant) -> Steps:
    """Yield the states after a backup, a failure or a change of watcher."""
    if not state.backup_made:
        with_backup = attrs.evolve(state, backup=state.head, backup_made=True)
        yield 'copy', with_backup
    if state.backup is not None and state.backup != state.head:
        restored = attrs.evolve(state, head=state.backup, backup=None)
        if mutant is not states.Mutant.no_session:
            restored = _disconnect(restored)
        yield 'restore', restored
    if state.store_up:
        yield 'permanent outage', attrs.evolve(state, store_up=False)
    if state.watcher == 0:
        yield 'watcher changes', attrs.evolve(state, watcher=1)
    if not state.restarted:
        in_force = ('', *state.in_force[1:])
        after = attrs.evolve(state, in_force=in_force, restarted=True)
        yield 'restart', after


def _disconnect(state: states.State) -> states.State:
    """Close the connections to the store, which restarts.

    A change whose write has not been sent is not accepted; the answer to a
    write that was sent is lost.
    """
    for number, operator in enumerate(state.operators):
        phase = operator.phase
        if phase in {states.Phase.read, states.Phase.asked}:
            phase = states.Phase.not_accepted
        if phase is states.Phase.sent:
            phase = states.Phase.lost
        state = _with_operator(state, number, phase=phase, in_flight=False)
    return state


def _process_steps(
    state: states.State, process: int, mutant: states.Mutant
) -> Steps:
    if state.store_up and process == state.watcher:
        yield 'read store', _offer(state, process, state.head.changes, mutant)
    if mutant is not states.Mutant.no_peers:
        offered = state.in_force[1 - process]
        yield 'ask peer', _offer(state, process, offered, mutant)


def _offer(
    state: states.State, process: int, offered: str, mutant: states.Mutant
) -> states.State:
    """Return the state after a configuration was offered to a process.

    The process adopts it if its revision is higher than that of its own.
    """
    own = state.in_force[process]
    lower = len(offered) < len(own)
    taken = len(offered) > len(own)
    if mutant is states.Mutant.accepts_lower:
        taken = len(offered) != len(own)
    if not taken:
        return state
    in_force = list(state.in_force)
    in_force[process] = offered
    return attrs.evolve(
        state,
        in_force=tuple(in_force),
        lowered=state.lowered or lower,
    )


def _with_operator(
    state: states.State, number: int, **fields: typing.Any
) -> states.State:
    """Return the state after fields of one operator were replaced."""
    operators = list(state.operators)
    operators[number] = attrs.evolve(operators[number], **fields)
    return attrs.evolve(state, operators=tuple(operators))


def _operator_steps(
    state: states.State, number: int, mutant: states.Mutant
) -> Steps:
    operator = state.operators[number]
    if state.store_up:
        yield from _query_steps(state, number, mutant)
        if operator.phase is states.Phase.lost:
            yield 'settle', _settle(state, number, mutant)
    if operator.phase is states.Phase.asked:
        sent = _with_operator(
            state, number, phase=states.Phase.sent, in_flight=True
        )
        yield 'send', sent
    if operator.phase is states.Phase.sent:
        yield 'time out', _with_operator(state, number, phase=states.Phase.lost)
    if state.store_up and operator.in_flight:
        yield from _deliver(state, number, mutant)


def _query_steps(
    state: states.State, number: int, mutant: states.Mutant
) -> Steps:
    """Yield the states after an operator's next query.

    An operator reads the store and then asks the processes for their
    configurations. The mutant ``processes_first`` reverses this order.
    """
    phase = state.operators[number].phase
    asks_processes_first = mutant is states.Mutant.processes_first
    if phase is states.Phase.idle:
        after = _with_operator(state, number, phase=states.Phase.read)
        yield (
            'first query',
            _query(after, number, asks_processes=asks_processes_first),
        )
    if phase is states.Phase.read:
        after = _query(state, number, asks_processes=not asks_processes_first)
        yield 'second query', _repair(after, number, mutant)


def _query(
    state: states.State, number: int, *, asks_processes: bool
) -> states.State:
    """Return the state after an operator's query.

    :param state: The state before.
    :param number: Number of the operator.
    :param asks_processes: Whether it asks the processes instead of the store.
    """
    if asks_processes:
        highest = max(state.in_force, key=len)
        return _with_operator(state, number, highest=highest)
    return _with_operator(state, number, base=state.head)


def _repair(
    state: states.State, number: int, mutant: states.Mutant
) -> states.State:
    """Update the store if a process has a higher revision.

    This happens after the store was restored from a backup, and must precede
    a change that builds on the restored configuration.
    """
    operator = state.operators[number]
    store_is_older = len(operator.highest) > len(operator.base.changes)
    if not store_is_older or mutant is states.Mutant.no_repair:
        return _with_operator(state, number, phase=states.Phase.asked)
    if not _passes_comparison(state.head, operator.base, mutant):
        return _with_operator(state, number, phase=states.Phase.not_accepted)
    head = states.Head(operator.highest, state.head.number + 1)
    repaired = attrs.evolve(state, head=head)
    return _with_operator(repaired, number, base=head, phase=states.Phase.asked)


def _passes_comparison(
    head: states.Head, base: states.Head, mutant: states.Mutant
) -> bool:
    """Return whether a write based on ``base`` passes the comparison."""
    if mutant is states.Mutant.no_compare:
        return True
    return head.number == base.number


def _deliver(state: states.State, number: int, mutant: states.Mutant) -> Steps:
    """Yield the states after an operator's write reaches the store.

    Its answer arrives, is lost, or comes too late.
    """
    operator = state.operators[number]
    written = _passes_comparison(state.head, operator.base, mutant)
    after = _with_operator(state, number, in_flight=False)
    if written:
        changes = operator.base.changes + states.CHANGES[number]
        writes = list(state.writes)
        writes[number] += 1
        after = attrs.evolve(
            after,
            head=states.Head(changes, state.head.number + 1),
            writes=tuple(writes),
        )
    if operator.phase is not states.Phase.sent:
        yield 'late write', after
        return
    outcome = states.Phase.accepted if written else states.Phase.not_accepted
    yield 'answer', _with_operator(after, number, phase=outcome)
    yield 'answer lost', _with_operator(after, number, phase=states.Phase.lost)


def _settle(
    state: states.State, number: int, mutant: states.Mutant
) -> states.State:
    """Determine the outcome of a write whose answer was lost.

    If the head is still the one that the write was based on, the operator
    raises the head's modification number. The write fails its comparison if it
    arrives after that, so it may be reported as not accepted.
    """
    if mutant is states.Mutant.blind_retry and state.writes[number] < 2:
        initial_phase = states.Phase.idle
        return _with_operator(
            state, number, phase=initial_phase, in_flight=False
        )
    operator = state.operators[number]
    revision = len(operator.base.changes) + 1
    if len(state.head.changes) >= revision:
        is_own_change = (
            state.head.changes[revision - 1] == states.CHANGES[number]
        )
        phase = (
            states.Phase.accepted
            if is_own_change
            else states.Phase.not_accepted
        )
        return _with_operator(state, number, phase=phase)
    if state.head != operator.base:
        return _with_operator(state, number, phase=states.Phase.unknown)
    if mutant is not states.Mutant.no_touch:
        head = attrs.evolve(state.head, number=state.head.number + 1)
        state = attrs.evolve(state, head=head)
    process_has_revision = max(map(len, state.in_force)) >= revision
    phase = (
        states.Phase.unknown
        if process_has_revision
        else states.Phase.not_accepted
    )
    return _with_operator(state, number, phase=phase)
