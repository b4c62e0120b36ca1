"""A whole site on loopback: platform, targets and entry nodes.

Used by the demonstration and by measurements; docs/operators/local-site.md
does the same by hand.
"""

import dataclasses
import json
import pathlib
import urllib.request

import launcher
import trustme

NODES = 3
ENGINES = 3

# Adapter slots of each engine: few, so that adapters come and go.
SLOTS = 4

DATA_CENTRES = ('north', 'south')

NODE_SETTINGS = """\
vm_id = '{vm_id}'
data_centre = '{data_centre}'
insecure = true  # callers speak plain text on loopback
drain_time = 20.0

[callers]
address = '127.0.0.1'
port = {callers}

[peers]
address = '127.0.0.1'
port = {peers}
tls = {{certificate = 'vm.pem', key = 'vm.key', authority = 'ca.pem'}}

[admin]
address = '127.0.0.1'
port = {admin}
tls = {{certificate = 'vm.pem', key = 'vm.key', authority = 'ca.pem'}}

[object_api]
url = '{object_api}'

[vm_list]
url = '{vm_list}'

[weight_store]
url = '{weight_store}'
"""

COMMAND_SETTINGS = """\
[object_api]
url = '{object_api}'

[vm_list]
url = '{vm_list}'

[admin_tls]
certificate = 'operator.pem'
key = 'operator.key'
authority = 'ca.pem'
"""


@dataclasses.dataclass(frozen=True, slots=True)
class Node:
    """One entry node and its ports on 127.0.0.1."""

    vm_id: str
    data_centre: str
    callers: int
    peers: int
    admin: int

    @property
    def url(self) -> str:
        """Where callers send requests."""
        return f'http://127.0.0.1:{self.callers}'


class Site:
    """The processes of a site and where they listen."""

    def __init__(
        self, processes: launcher.Launcher, engines: int = ENGINES
    ) -> None:
        self.processes = processes
        self.directory = processes.directory
        self.object_api = self._stand_in('object-api', 'object-api')
        self.vm_list = self._stand_in('vm-list', 'vm-list')
        self.weight_store = self._stand_in('weight-store', 'weight-store')
        self.engines_by_name = {
            name: self._engine(name)
            for name in (f'engine-{index}' for index in range(1, engines + 1))
        }
        self.desk = self._stand_in('desk-1', 'desk')
        self.nodes_by_id: dict[str, Node] = {}

    def start_nodes(self, count: int = NODES) -> None:
        """Start the entry nodes, list their VMs and wait for readiness."""
        ports = launcher.free_ports(3 * count)
        for index in range(count):
            node = Node(
                f'vm-{index + 1}',
                DATA_CENTRES[index % len(DATA_CENTRES)],
                *ports[3 * index : 3 * index + 3],
            )
            self.nodes_by_id[node.vm_id] = node
        self._write_certificates()
        self._write_command_settings()
        self.list_vms()
        for node in self.nodes_by_id.values():
            self.start_node(node)
        for node in self.nodes_by_id.values():
            self.processes.processes_by_name[node.vm_id].first_line()
        for node in self.nodes_by_id.values():
            launcher.wait_until(
                lambda node=node: is_ready(node),  # type: ignore[misc]
                f'readiness of {node.vm_id}',
            )

    def start_node(self, node: Node) -> None:
        """Start one entry node."""
        settings = NODE_SETTINGS.format(
            **dataclasses.asdict(node),
            object_api=self.object_api,
            vm_list=self.vm_list,
            weight_store=self.weight_store,
        )
        path = self.directory / f'{node.vm_id}.toml'
        path.write_text(settings)
        self.processes.start(node.vm_id, 'mustardlbd', str(path))

    def list_vms(self, *leaving: str) -> None:
        """Show the nodes on the VM list, those named as leaving."""
        vms = [
            {
                'vm_id': node.vm_id,
                'address': '127.0.0.1',
                'peer_port': node.peers,
                'admin_port': node.admin,
                'data_centre': node.data_centre,
                'state': 'leaving' if node.vm_id in leaving else 'live',
            }
            for node in self.nodes_by_id.values()
        ]
        put(f'{self.vm_list}/vms', {'vms': vms})

    def _stand_in(self, name: str, kind: str, *arguments: str) -> str:
        process = self.processes.start(
            name, 'mustardlb_standins', kind, *arguments
        )
        return process.first_line()['listening']

    def _engine(self, name: str) -> str:
        return self._stand_in(
            name, 'engine', f'--slots={SLOTS}', f'--store={self.weight_store}'
        )

    def _write_certificates(self) -> None:
        authority = trustme.CA()
        authority.cert_pem.write_to_path(str(self.directory / 'ca.pem'))
        for name in ('vm', 'operator'):
            issued = authority.issue_cert('127.0.0.1')
            chain = b''.join(one.bytes() for one in issued.cert_chain_pems)
            (self.directory / f'{name}.pem').write_bytes(chain)
            issued.private_key_pem.write_to_path(
                str(self.directory / f'{name}.key')
            )

    def _write_command_settings(self) -> None:
        text = COMMAND_SETTINGS.format(
            object_api=self.object_api, vm_list=self.vm_list
        )
        self.command_settings.write_text(text)

    @property
    def command_settings(self) -> pathlib.Path:
        """Settings of the command line for this site."""
        return self.directory / 'mustardlb.toml'


def put(url: str, value: object) -> None:
    """Send JSON by PUT."""
    request = urllib.request.Request(
        url,
        json.dumps(value).encode(),
        {'Content-Type': 'application/json'},
        method='PUT',
    )
    urllib.request.urlopen(request, timeout=10).close()


def is_ready(node: Node) -> bool:
    """Whether the node tells the balancer that it takes requests."""
    try:
        with urllib.request.urlopen(f'{node.url}/readyz', timeout=2):
            return True
    except OSError:
        return False
