"""Sends the large bodies of calls over one link after another."""

import asyncio

from mustardshunt.relay import (
    BODY_PART_BYTES,
    BodyPart,
    Call,
    FrameStream,
    LargeBody,
    wrap_large_call,
)
from mustardshunt.sidecar._waiting_calls import WaitingCalls


class BodySender:
    """Sends calls with large bodies to one peer, a task for each.

    A body ends with the connection that it began on: the peer drops what has
    arrived and reports the call as not run.

    Parameters
    ----------
    calls : WaitingCalls
        Calls to the peer that wait for their results.
    """

    def __init__(self, calls: WaitingCalls) -> None:
        self._calls = calls
        self._tasks: set[asyncio.Task[None]] = set()

    def send(self, stream: FrameStream, call: Call, body: LargeBody) -> None:
        """Send a call, and its body as fast as the peer reads it.

        Parameters
        ----------
        stream : FrameStream
            Open connection to the peer.
        call : Call
            The call, without its body.
        body : LargeBody
            Body of the call. It may be closed at any time.
        """
        stream.send(wrap_large_call(call, len(body)))
        task = asyncio.create_task(
            self._send_parts(stream, call.number, body), name='large body'
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send_parts(
        self, stream: FrameStream, number: int, body: LargeBody
    ) -> None:
        sent = 0
        while sent < len(body):
            await stream.drain()
            is_wanted = number in self._calls and not body.is_closed
            if not is_wanted or not stream.is_open:
                return
            with body.view(sent, BODY_PART_BYTES) as part:
                stream.send(BodyPart(number, bytes(part)))
                sent += len(part)
