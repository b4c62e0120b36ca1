"""Break one decision at a time and see that a test notices.

Reads tools/mutants.toml, applies each breakage to a copy of the packages and
runs the tests named for it. Prints a table; exit code 1 when one survives.
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

# Seconds that the tests of one mutant may take; past it counts as caught,
# since a test that hangs does not pass.
TEST_LIMIT = 300.0


@dataclasses.dataclass(frozen=True, slots=True)
class Mutant:
    """One deliberate breakage.

    :ivar name: what is broken
    :ivar promise: number of the promise in docs/promises.md
    :ivar file: path below packages/
    :ivar find: text that stands exactly once in the file
    :ivar replace: what it becomes
    :ivar tests: pytest arguments that must fail
    """

    name: str
    promise: int
    file: str
    find: str
    replace: str
    tests: list[str]


def read_mutants() -> list[Mutant]:
    """Read the committed list."""
    text = (ROOT / 'tools' / 'mutants.toml').read_text()
    return [Mutant(**entry) for entry in tomllib.loads(text)['mutant']]


def apply_mutant(mutant: Mutant, packages: pathlib.Path) -> None:
    """Change the copy. Raises ValueError unless `find` stands just once."""
    path = packages / mutant.file
    text = path.read_text()
    if text.count(mutant.find) != 1:
        raise ValueError(
            f'{mutant.name}: text stands {text.count(mutant.find)} times '
            f'in {mutant.file}'
        )
    path.write_text(text.replace(mutant.find, mutant.replace))


def is_caught(mutant: Mutant) -> bool:
    """Run the mutant's tests against the broken copy."""
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
                timeout=TEST_LIMIT,
            )
        except subprocess.TimeoutExpired:
            return True
    # Any other code says that the tests did not run.
    if result.returncode not in (0, 1):
        raise RuntimeError(f'{mutant.name}: {result.stdout.decode()}')
    return result.returncode == 1


def main() -> int:
    """Print the table; the words of the command line select by name."""
    wanted = sys.argv[1:]
    survivors = 0
    for mutant in read_mutants():
        if wanted and not any(word in mutant.name for word in wanted):
            continue
        caught = is_caught(mutant)
        survivors += not caught
        verdict = 'caught' if caught else 'SURVIVED'
        print(f'{mutant.promise:3} {verdict:9} {mutant.name}', flush=True)
    return 1 if survivors else 0


if __name__ == '__main__':
    sys.exit(main())
