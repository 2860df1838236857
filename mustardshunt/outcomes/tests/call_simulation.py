"""Simulation of calls over links that lose, delay, repeat or reorder frames."""

from collections import Counter, deque
from dataclasses import dataclass, field, replace

from mustardshunt.base import (
    Answer,
    CallId,
    Effect,
    Incarnation,
    Reason,
    Refusal,
)
from mustardshunt.outcomes import (
    AnswerArrived,
    BeginResult,
    CallAbandoned,
    CallResolved,
    CallSent,
    CallStatusArrived,
    CallTrackerTick,
    LinkFailed,
    LinkOpened,
    Outcome,
    PeerGone,
    ReopenLink,
    RequestCallStatus,
    make_call_tracker,
    make_outcome_log,
)

PEERS = 2
MAX_ATTEMPTS = 3


@dataclass
class Callee:
    name: Incarnation
    log: object
    queued: list = field(default_factory=list)
    running: list = field(default_factory=list)


@dataclass
class Sender:
    name: Incarnation
    tracker: object
    number: int = 0
    peers_to_reopen: set = field(default_factory=set)


class CallSimulation:
    """One sender, two callees and the frames on the links between them.

    Each method with a ``pick`` parameter is one step of a test; ``pick``
    selects the peer, link, call or frame of the step. Frames are plain tuples.
    """

    def __init__(self, **limits):
        self.now, self.link_count, self.name_count = 0.0, 0, 0
        self.limits = limits
        self.starts = Counter()
        self.results = {}
        self.request_by_id = {}
        self.gone_peers = []
        self.queues_by_link = {}
        self.link_by_peer = {}
        self.callees = [self.make_callee() for _ in range(PEERS)]
        self.sender = self.make_sender()

    def make_callee(self):
        self.name_count += 1
        name = Incarnation(f'callee{self.name_count}')
        return Callee(name, make_outcome_log(**self.limits))

    def make_sender(self):
        self.name_count += 1
        return Sender(
            Incarnation(f'sender{self.name_count}'), make_call_tracker()
        )

    # Steps of the sender

    def send(self, pick, request=None):
        peer = self.callees[pick % PEERS].name
        link = self.link_by_peer.get(peer) or self.open_link(peer)
        if link is None:
            return
        call_id = CallId(self.sender.name, self.sender.number)
        self.sender.number += 1
        self.request_by_id[call_id] = request or call_id
        self.feed(CallSent(call_id, peer, link, idempotent=False))
        self.queues_by_link[link][0].append(('call', call_id))

    def open_link(self, peer):
        callee = next((c for c in self.callees if c.name == peer), None)
        if callee is None:
            return None
        self.link_count += 1
        link = self.link_count
        self.queues_by_link[link] = (deque(), deque(), callee, self.sender)
        self.link_by_peer[peer] = link
        callee.log.register_link(self.sender.name, link, self.now)
        self.feed(LinkOpened(peer, link))
        return link

    def feed(self, event):
        for action in self.sender.tracker.handle(event, self.now):
            match action:
                case CallResolved(call_id, outcome):
                    self.record_result(call_id, outcome)
                case RequestCallStatus(_, link, call_id):
                    self.queues_by_link[link][0].append((
                        'status-request',
                        call_id,
                    ))
                case ReopenLink(peer):
                    self.sender.peers_to_reopen.add(peer)

    def record_result(self, call_id, outcome):
        assert call_id not in self.results, (
            'tracker reported two results for one call'
        )
        self.results[call_id] = outcome.reply
        request = self.request_by_id[call_id]
        attempts = list(self.request_by_id.values()).count(request)
        not_run = getattr(outcome.reply, 'effect', None) is Effect.NOT_RUN
        if not_run and attempts < MAX_ATTEMPTS:
            self.send(call_id.number, request)

    def reconnect(self, pick):
        for peer in sorted(self.sender.peers_to_reopen):
            self.sender.peers_to_reopen.discard(peer)
            self.open_link(peer)

    def fail_link(self, pick, lost=True):
        if not self.link_by_peer:
            return
        peer, link = sorted(self.link_by_peer.items())[
            pick % len(self.link_by_peer)
        ]
        del self.link_by_peer[peer]
        if lost:
            self.queues_by_link[link][1].clear()
        self.feed(LinkFailed(peer, link))

    def silence_link(self, pick):
        self.fail_link(pick, lost=False)

    def tick(self, pick):
        self.now += 0.5
        self.feed(CallTrackerTick())

    def pause(self, pick):
        self.now += 61.0

    def abandon(self, pick):
        unresolved = [c for c in self.request_by_id if c not in self.results]
        if unresolved:
            call_id = unresolved[pick % len(unresolved)]
            for callee in self.callees:
                late = Refusal(Reason.DEADLINE_EXCEEDED, Effect.UNKNOWN)
                event = CallAbandoned(call_id, callee.name, Outcome(late))
                self.feed(event)

    def crash_sender(self, pick):
        for call_id in self.request_by_id:
            self.results.setdefault(call_id, None)
        self.link_by_peer.clear()
        self.sender = self.make_sender()

    # Steps of the network

    def deliver(self, pick, repeat=False):
        pairs = [
            (queues, direction)
            for queues in self.queues_by_link.values()
            for direction in (0, 1)
            if queues[direction]
        ]
        if not pairs:
            return
        queues, direction = pairs[pick % len(pairs)]
        frame = queues[direction][0] if repeat else queues[direction].popleft()
        if direction:
            self.receive_reply(queues[2], queues[3], frame)
        elif queues[2] in self.callees:
            self.receive(queues, frame)

    def repeat_frame(self, pick):
        self.deliver(pick, repeat=True)

    def receive_reply(self, callee, sender, frame):
        if sender is not self.sender:
            return
        kind, call_id, content = frame
        event = CallStatusArrived if kind == 'status' else AnswerArrived
        self.feed(event(call_id, callee.name, content))

    # Steps of the callee

    def receive(self, queues, frame):
        _, replies, callee, _ = queues
        link = next(k for k, v in self.queues_by_link.items() if v is queues)
        kind, call_id = frame
        if kind == 'status-request':
            status = callee.log.resolve(call_id, self.now)
            replies.append(('status', call_id, status))
            return
        result = callee.log.begin(call_id, link, self.now)
        if result is BeginResult.BEGUN:
            callee.queued.append(call_id)
        elif result.refusal is not None:
            replies.append(('answer', call_id, Outcome(result.refusal)))

    def start(self, pick):
        for callee in self.callees:
            for call_id in callee.queued:
                self.starts[call_id] += 1
            callee.running += callee.queued
            callee.queued = []

    def finish(self, pick):
        answer = Outcome(Answer(200, (), b'body'))
        for callee in self.callees:
            for call_id in callee.running:
                self.end_call(callee, call_id, answer)
            callee.running = []

    def refuse(self, pick):
        refusal = Outcome(Refusal(Reason.OVERLOADED, Effect.NOT_RUN))
        for callee in self.callees:
            for call_id in callee.queued:
                self.end_call(callee, call_id, refusal)
            callee.queued = []

    def end_call(self, callee, call_id, outcome):
        assert callee.log.finish(call_id, outcome, self.now)
        for queues in reversed(self.queues_by_link.values()):
            if queues[2] is callee and queues[3].name == call_id.sender:
                queues[1].append(('answer', call_id, replace(outcome)))
                return

    def crash_callee(self, pick):
        index = pick % PEERS
        self.gone_peers.append(self.callees[index].name)
        self.callees[index] = self.make_callee()

    def notice_gone(self, pick):
        for peer in self.gone_peers:
            self.link_by_peer.pop(peer, None)
            self.feed(PeerGone(peer))
        self.gone_peers.clear()

    # End of the simulation

    def settle(self):
        """Run until each call has a result, in at most 30 rounds."""
        steps = (
            self.notice_gone, self.reconnect, self.start, self.finish,
            self.tick, self.tick,
        )  # fmt: skip
        for _ in range(30):
            for step in steps:
                step(0)
            while any(q[0] or q[1] for q in self.queues_by_link.values()):
                self.deliver(0)
            if all(c in self.results for c in self.request_by_id):
                return
