"""Cap'n Proto schemas of the messages between nodes."""

import functools
import pathlib
from typing import Any

import capnp

capnp.remove_import_hook()


@functools.cache
def load(name: str) -> Any:
    """Return the module of the schema file `<name>.capnp`.

    >>> load('envelope').Request.new_message(service='poll').service
    'poll'
    """
    return capnp.load(str(pathlib.Path(__file__).parent / f'{name}.capnp'))
