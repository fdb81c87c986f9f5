"""Exchange one heartbeat with many processes, for operators' queries."""

from trio import CapacityLimiter, current_time, fail_after, open_nursery

from damaskstall.addresses import Address
from damaskstall.errors import FrameError
from damaskstall.frames import FrameStream
from damaskstall.generated.messages import Frame, HeartbeatAck
from damaskstall.network import Network
from damaskstall.peers.node import PeerNode
from damaskstall.peers.peer_client import CONNECTION_ERRORS, EXCHANGE_TIMEOUT_S
from damaskstall.peers.peer_server import check_heartbeat

PARALLEL_LIMIT = 32
FIRST_REQUEST_ID = 1


async def survey_processes(
    network: Network, node: PeerNode, addresses: frozenset[Address]
) -> None:
    """Exchange one heartbeat with each process, with bounded concurrency."""
    limiter = CapacityLimiter(PARALLEL_LIMIT)
    async with open_nursery() as nursery:
        for address in sorted(addresses):
            nursery.start_soon(survey_process, network, node, address, limiter)


async def survey_process(
    network: Network,
    node: PeerNode,
    address: Address,
    limiter: CapacityLimiter,
) -> None:
    """Exchange one heartbeat; ignore a process that does not answer."""
    async with limiter:
        try:
            with fail_after(EXCHANGE_TIMEOUT_S):
                await exchange_heartbeat(network, node, address)
        except CONNECTION_ERRORS:
            return


async def exchange_heartbeat(
    network: Network, node: PeerNode, address: Address
) -> None:
    """Record one process's heartbeat; raise FrameError if malformed."""
    sent_s = current_time()
    stream = await network.connect(address)
    async with stream:
        frames = FrameStream(stream)
        await frames.send(Frame(FIRST_REQUEST_ID, node.heartbeat(sent_s)))
        answer = await frames.receive()
        while answer and answer.request_id != FIRST_REQUEST_ID:
            answer = await frames.receive()
    if answer is None or not isinstance(answer.body, HeartbeatAck):
        raise FrameError(
            "A peer answered a heartbeat with another message type."
        )
    peer = answer.body.heartbeat
    check_heartbeat(peer)
    node.liveness.record_heartbeat(peer, sent_s)
    node.liveness.record_answer(address, sent_s)
