"""Mutation testing: check that tests fail for each deliberate fault.

Reads tools/mutants.toml, applies each mutation to a copy of the packages and
runs the tests listed for it. Prints a table; exits with 1 if a mutant
survives.
"""

import dataclasses
import os
import pathlib
import shutil
import subprocess
import sys
import tempfile
import tomllib

ROOT = pathlib.Path(__file__).parent.parent

# A timeout counts as caught, since a test that hangs does not pass.
TEST_TIMEOUT_SECONDS = 300.0


@dataclasses.dataclass(frozen=True, slots=True)
class Mutant:
    """One deliberate fault in the packages.

    :ivar name: description of the faulty behaviour
    :ivar promise: number in docs/promises.md of the guarantee that it breaks,
        0 if it only makes callers wait
    :ivar file: path below packages/
    :ivar find: text that occurs exactly once in the file
    :ivar replace: text that replaces it
    :ivar tests: pytest arguments of tests that must fail
    """

    name: str
    promise: int
    file: str
    find: str
    replace: str
    tests: list[str]


def read_mutants() -> list[Mutant]:
    """Return the mutants of tools/mutants.toml."""
    text = (ROOT / 'tools' / 'mutants.toml').read_text()
    return [Mutant(**entry) for entry in tomllib.loads(text)['mutant']]


def apply_mutant(mutant: Mutant, packages: pathlib.Path) -> None:
    """Change the copy; raises ValueError unless `find` occurs once."""
    path = packages / mutant.file
    text = path.read_text()
    if text.count(mutant.find) != 1:
        raise ValueError(
            f'{mutant.name}: text occurs {text.count(mutant.find)} times '
            f'in {mutant.file}'
        )
    path.write_text(text.replace(mutant.find, mutant.replace))


def is_caught(mutant: Mutant) -> bool:
    """Return whether the mutant's tests fail for the changed copy."""
    with tempfile.TemporaryDirectory() as directory:
        packages = pathlib.Path(directory) / 'packages'
        shutil.copytree(ROOT / 'packages', packages)
        apply_mutant(mutant, packages)
        paths = [str(path) for path in packages.iterdir()]
        environment = dict(os.environ, PYTHONPATH=os.pathsep.join(paths))
        command = [sys.executable, '-m', 'pytest', '-x', *mutant.tests]
        try:
            result = subprocess.run(
                command,
                cwd=ROOT,
                env=environment,
                capture_output=True,
                timeout=TEST_TIMEOUT_SECONDS,
            )
        except subprocess.TimeoutExpired:
            return True
    # Exit codes of pytest above 1 mean that the tests did not run.
    if result.returncode not in (0, 1):
        raise RuntimeError(f'{mutant.name}: {result.stdout.decode()}')
    return result.returncode == 1


def main() -> int:
    """Print the table; arguments select mutants by parts of their names."""
    patterns = sys.argv[1:]
    survivors = 0
    for mutant in read_mutants():
        if patterns and not any(part in mutant.name for part in patterns):
            continue
        caught = is_caught(mutant)
        survivors += not caught
        verdict = 'caught' if caught else 'SURVIVED'
        print(f'{mutant.promise:3} {verdict:9} {mutant.name}', flush=True)
    return 1 if survivors else 0


if __name__ == '__main__':
    sys.exit(main())
