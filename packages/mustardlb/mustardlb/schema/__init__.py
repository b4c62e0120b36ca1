"""Schemas of the messages between nodes, loaded by pycapnp."""

import functools
import pathlib
from typing import Any

import capnp

capnp.remove_import_hook()


@functools.cache
def load(name: str) -> Any:
    """Load the schema file of that name.

    >>> load('envelope').Request.new_message(service='poll').service
    'poll'
    """
    return capnp.load(str(pathlib.Path(__file__).parent / f'{name}.capnp'))
