"""Build dist/balsamrail: a single executable file that runs on the host's Python 3.11.

The file is a zip archive with the Python sources and byte code of balsamrail and the libraries
that it declares. Python imports from the archive in memory, so nothing is unpacked. Extension
modules cannot be imported from an archive and are excluded; the libraries fall back to pure Python
code, and ``tools/binary_modules`` replaces the two modules without a fallback.
"""

import importlib.metadata
import importlib.util
import re
import stat
import sys
import tomllib
import zipfile
from collections.abc import Iterator
from pathlib import Path, PurePosixPath

ROOT = Path(__file__).resolve().parent.parent
TARGET = ROOT / 'dist' / 'balsamrail'
# setuptools is only required by pbr, which hdrhistogram needs for its own installation.
EXCLUDED_LIBRARIES = frozenset(('orjson', 'pbr', 'setuptools'))
MAIN = 'import sys\n\nfrom balsamrail.cli import main\n\nsys.exit(main())\n'
SKIPPED_FOLDERS = frozenset(('test', 'tests', '__pycache__'))
# The version is pinned because another Python version would recompile the byte code.
START_LINE = b'#!/usr/bin/env python3.11\n'
DATE = (2026, 1, 1, 0, 0, 0)


def declared_names() -> list[str]:
    project = tomllib.loads((ROOT / 'pyproject.toml').read_text())['project']
    return [requirement_name(line) for line in project['dependencies']]


def requirement_name(line: str) -> str:
    found = re.match('[A-Za-z0-9._-]+', line)
    assert found, line
    return re.sub('[-_.]+', '-', found.group()).lower()


def distributions() -> dict[str, importlib.metadata.Distribution]:
    """Return the declared libraries and their dependencies by name."""
    found: dict[str, importlib.metadata.Distribution] = {}
    waiting = declared_names()
    while waiting:
        name = waiting.pop()
        if name in found or name in EXCLUDED_LIBRARIES:
            continue
        try:
            found[name] = importlib.metadata.distribution(name)
        except importlib.metadata.PackageNotFoundError:
            continue
        for line in found[name].requires or ():
            if 'extra ==' not in line.replace('"', "'"):
                waiting.append(requirement_name(line))
    return found


def library_files() -> Iterator[tuple[str, bytes]]:
    for _, distribution in sorted(distributions().items()):
        for file in distribution.files or ():
            path = PurePosixPath(file)
            wanted = path.suffix == '.py' or path.name == 'METADATA'
            if wanted and '..' not in path.parts and SKIPPED_FOLDERS.isdisjoint(path.parts):
                yield str(path), Path(distribution.locate_file(file)).read_bytes()


def own_files() -> Iterator[tuple[str, bytes]]:
    for path in sorted((ROOT / 'src').rglob('*.py')):
        yield path.relative_to(ROOT / 'src').as_posix(), path.read_bytes()
    for path in sorted((ROOT / 'tools' / 'binary_modules').glob('*.py')):
        yield path.name, path.read_bytes()
    yield '__main__.py', MAIN.encode()


def byte_code(name: str, source: bytes) -> bytes:
    code = compile(source, f'balsamrail/{name}', 'exec', dont_inherit=True)
    import importlib._bootstrap_external as external

    # Unchecked, because sources in an archive cannot change after the build.
    return external._code_to_hash_pyc(code, importlib.util.source_hash(source), False)


def write_entry(archive: zipfile.ZipFile, name: str, content: bytes) -> None:
    entry = zipfile.ZipInfo(name, DATE)
    entry.compress_type = zipfile.ZIP_DEFLATED
    archive.writestr(entry, content)


def build(target: Path = TARGET) -> Path:
    target.parent.mkdir(parents=True, exist_ok=True)
    files = dict([*library_files(), *own_files()])
    folders = {f'{parent}/' for name in files for parent in PurePosixPath(name).parents}
    with target.open('wb') as output:
        output.write(START_LINE)
        with zipfile.ZipFile(output, 'w') as archive:
            # Namespace packages are only found if their folder has its own entry.
            for folder in sorted(folders - {'./'}):
                write_entry(archive, folder, b'')
            for name, content in sorted(files.items()):
                write_entry(archive, name, content)
                if name.endswith('.py'):
                    write_entry(archive, f'{name}c', byte_code(name, content))
    target.chmod(target.stat().st_mode | stat.S_IXUSR | stat.S_IXGRP | stat.S_IXOTH)
    return target


def main() -> None:
    assert sys.version_info[:2] == (3, 11), 'the archive is for Python 3.11'
    path = build()
    libraries = ', '.join(
        f'{name} {found.version}' for name, found in sorted(distributions().items())
    )
    print(f'{path.relative_to(ROOT)}: {path.stat().st_size:,} bytes')
    print(f'libraries: {libraries}')


if __name__ == '__main__':
    main()
