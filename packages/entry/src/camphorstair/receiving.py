"""Receive the replies to an attempt and detect an agent that hangs."""

import attrs
import curio

from camphorstair import link_pool
from camphorstair_core import answers, endpoints, messages
from camphorstair_runtime import clocks, links

HELLO_LIMIT_S = 1.0
SILENCE_TIMEOUT_S = 1.0
PART_LIMIT_S = 10.0
FIRST_PART_DEADLINE_SHARE = 0.5
_MS_IN_S = 1000


class AgentSilentError(links.LinkError):
    """The agent, or the endpoint behind it, has stopped responding."""


@attrs.define
class Receiver:
    """Receiver of the replies to one attempt.

    A timeout for each part would have to be set and removed for each token.
    Instead, one watching task checks periodically whether parts arrive.

    :ivar link: The link on which the replies arrive.
    :ivar endpoint: The endpoint that answers.
    :ivar pool: Provides a second link, to check whether a silent agent runs.
    :ivar hello: The message for this check.
    :ivar progress: What was received of the response.
    :ivar waiting: Whether ``receive`` is waiting for a reply.
    :ivar part_deadline_s: Deadline of the next part, on the monotonic clock.
    :ivar replies: Number of calls of ``receive`` that have ended.
    :ivar silence_error: The error for which the watching task interrupted the
        link, or None.
    """

    link: links.Link
    endpoint: endpoints.Endpoint
    pool: link_pool.LinkPool
    hello: messages.Hello
    progress: answers.AnswerProgress
    waiting: bool = False
    part_deadline_s: float = 0
    replies: int = 0
    silence_error: AgentSilentError | None = None

    async def receive(self, limit_s: float) -> answers.Reply:
        """Return the next reply to this attempt.

        :param limit_s: Time limit for the endpoint. It is enforced only while
            ``watch`` runs.
        :raises links.LinkError: if the link breaks.
        :raises AgentSilentError: if the agent or the endpoint is silent.
        """
        self.part_deadline_s = clocks.monotonic_s() + limit_s
        self.waiting = True
        try:
            return await self._next_reply()
        except links.LinkError as error:
            raise self.silence_error or error from error
        finally:
            self.waiting = False
            self.replies += 1

    async def watch(self) -> None:
        """Interrupt the link once the agent or the endpoint is silent."""
        earlier_replies = -1
        while not self.silence_error:
            if self.waiting and self.replies == earlier_replies:
                await self._check_agent()
            earlier_replies = self.replies
            await curio.sleep(SILENCE_TIMEOUT_S)

    async def _next_reply(self) -> answers.Reply:
        while True:
            reply = await self.link.receive()
            if not isinstance(reply, answers.REPLIES):
                raise links.LinkError(f'unexpected {type(reply).__name__}')
            if answers.belongs_to_attempt(self.progress, reply):
                return reply

    async def _check_agent(self) -> None:
        try:
            await self._probe_agent()
        except links.LinkError as error:
            self.silence_error = AgentSilentError(str(error))
            await self.link.interrupt()

    async def _probe_agent(self) -> None:
        now_s = clocks.monotonic_s()
        if now_s >= self.part_deadline_s:
            raise AgentSilentError(
                'the endpoint sent no part before its deadline'
            )
        if now_s < self.endpoint.last_message_s + SILENCE_TIMEOUT_S:
            return
        vm = self.endpoint.vm
        link = await self.pool.acquire(vm)
        answered = False
        try:
            await check_alive(link, self.hello)
            answered = True
        finally:
            if answered:
                await self.pool.release(vm, link)
            else:
                await link.close()
        self.endpoint.last_message_s = clocks.monotonic_s()


async def check_alive(link: links.Link, hello: messages.Hello) -> None:
    """Check on an idle link that an agent answers.

    :param link: An idle link to the agent.
    :param hello: The message to send.
    :raises AgentSilentError: if it does not answer in ``HELLO_LIMIT_S``.
    :raises links.LinkError: if the link breaks or the agent answers with
        another message.
    """
    try:
        reply = await curio.timeout_after(HELLO_LIMIT_S, link.call, hello)
    except (links.LinkError, curio.TaskTimeout) as error:
        raise AgentSilentError('the agent is silent') from error
    if not isinstance(reply, messages.Hello):
        raise links.LinkError(f'unexpected {type(reply).__name__}')


def first_part_limit_s(start: messages.RequestStart) -> float:
    """Return the time limit for the first part of a response.

    This is a share of the request's remaining time, at least
    ``PART_LIMIT_S``.
    """
    share_s = start.remaining_ms * FIRST_PART_DEADLINE_SHARE / _MS_IN_S
    return max(PART_LIMIT_S, share_s)
