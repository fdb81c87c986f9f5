"""Share one state of each backend server between the services that use it."""

from damaskstall.entry.server_state import ServerState
from damaskstall.generated.settings import EntrySettings
from damaskstall.network import Network
from damaskstall.resources.records import ServerSpec


class ServerRegistry:
    """The states of all declared servers, one for each.

    A server's slots and connections are shared by the services that use it.
    Services share a state if their declarations of the server are equal.
    """

    def __init__(self, network: Network, settings: EntrySettings) -> None:
        """Start without servers."""
        self.network = network
        self.settings = settings
        self.states: dict[str, ServerState] = {}

    def get(self, spec: ServerSpec) -> ServerState:
        """Return the state of a server; create it if there is none."""
        key = repr(sorted(spec.items()))
        state = self.states.get(key)
        if state is None:
            state = ServerState(spec, self.network, self.settings)
            self.states[key] = state
        return state

    def drop_unused(self) -> list[ServerState]:
        """Remove and return the servers that no service uses."""
        unused = {k: s for k, s in self.states.items() if not s.dispatchers}
        for key in unused:
            del self.states[key]
        return list(unused.values())
