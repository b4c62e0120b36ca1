"""Runs the examples in the docstrings of the modules in packages/."""

import doctest
import importlib
import pathlib

import pytest

PACKAGES = pathlib.Path(__file__).parent.parent / 'packages'


def module_names():
    for path in sorted(PACKAGES.glob('*/*/**/*.py')):
        relative = path.relative_to(PACKAGES).parts[1:]
        parts = [*relative[:-1], path.stem]
        if parts[-1] in ('__main__', '__init__'):
            parts.pop()
        if parts:
            yield '.'.join(parts)


@pytest.mark.parametrize('name', list(module_names()))
def test_docstring_examples(name):
    result = doctest.testmod(importlib.import_module(name))
    assert result.failed == 0
