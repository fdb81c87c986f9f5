"""Objects that all components of one process share."""

from damaskstall.tasks.clock import Clock
from damaskstall.tasks.config_watcher import ConfigWatcher
from damaskstall.tasks.configuration import Configuration
from damaskstall.tasks.node_settings import NodeSettings
from damaskstall.tasks.ports import Platform
from damaskstall.tasks.relayed_table import RelayedTable


class NodeContext:
    """Platform, table, configuration, settings and clocks of one process."""

    def __init__(
        self,
        settings: NodeSettings,
        platform: Platform,
        table: RelayedTable,
        configuration: Configuration,
        config_watcher: ConfigWatcher,
        clock: Clock,
        unix_s: Clock,
    ) -> None:
        """Store the components; ``settings`` is replaced on a reload.

        ``table`` accesses the platform's rows, through peers if necessary.
        """
        self.table = table
        self.settings = settings
        self.platform = platform
        self.configuration = configuration
        self.config_watcher = config_watcher
        self.clock = clock
        self.unix_s = unix_s
