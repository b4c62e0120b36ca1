"""The command line of mustardlb operators."""

from mustardlb_cli import _main

main = _main.main
