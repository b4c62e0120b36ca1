"""A complete site on loopback: platform, targets and entry nodes.

Used by the demonstration and by benchmarks. docs/operators/local-site.md
describes how to start such a site manually.
"""

import dataclasses
import json
import pathlib
import urllib.request

import launcher
import trustme

NODE_COUNT = 3
ENGINE_COUNT = 3

# Few slots for each engine, so that adapters are loaded and evicted.
ADAPTER_SLOTS = 4

DATA_CENTRES = ('north', 'south')

NODE_SETTINGS = """\
vm_id = '{vm_id}'
data_centre = '{data_centre}'
insecure = true  # callers use plain HTTP on loopback
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
    """One entry node and its ports on 127.0.0.1, by interface."""

    vm_id: str
    data_centre: str
    callers: int
    peers: int
    admin: int

    @property
    def url(self) -> str:
        """Base URL for callers."""
        return f'http://127.0.0.1:{self.callers}'


class Site:
    """A site with its processes, their URLs and its settings files."""

    def __init__(
        self, processes: launcher.Launcher, engines: int = ENGINE_COUNT
    ) -> None:
        self.processes = processes
        self.directory = processes.directory
        self.object_api = self._start_simulator('object-api', 'object-api')
        self.vm_list = self._start_simulator('vm-list', 'vm-list')
        self.weight_store = self._start_simulator(
            'weight-store', 'weight-store'
        )
        self.engines_by_name = {
            name: self._start_engine(name)
            for name in (f'engine-{index}' for index in range(1, engines + 1))
        }
        self.desk = self._start_simulator('desk-1', 'desk')
        self.nodes_by_id: dict[str, Node] = {}

    def start_nodes(self, count: int = NODE_COUNT) -> None:
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
            self.processes.processes_by_name[node.vm_id].read_first_line()
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
        """Set the VM list to all nodes; those in `leaving` have that state."""
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

    def _start_simulator(self, name: str, kind: str, *arguments: str) -> str:
        process = self.processes.start(
            name, 'mustardlb_standins', kind, *arguments
        )
        return process.read_first_line()['listening']

    def _start_engine(self, name: str) -> str:
        return self._start_simulator(
            name,
            'engine',
            f'--slots={ADAPTER_SLOTS}',
            f'--store={self.weight_store}',
        )

    def _write_certificates(self) -> None:
        authority = trustme.CA()
        authority.cert_pem.write_to_path(str(self.directory / 'ca.pem'))
        for name in ('vm', 'operator'):
            issued = authority.issue_cert('127.0.0.1')
            chain = b''.join(pem.bytes() for pem in issued.cert_chain_pems)
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
        """Path of the settings file of the command line."""
        return self.directory / 'mustardlb.toml'


def put(url: str, value: object) -> None:
    """Send a PUT request with JSON."""
    request = urllib.request.Request(
        url,
        json.dumps(value).encode(),
        {'Content-Type': 'application/json'},
        method='PUT',
    )
    urllib.request.urlopen(request, timeout=10).close()


def is_ready(node: Node) -> bool:
    """Return whether the node reports readiness to its load balancer."""
    try:
        with urllib.request.urlopen(f'{node.url}/readyz', timeout=2):
            return True
    except OSError:
        return False
