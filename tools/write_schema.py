"""Write the JSON Schemas of the documents that operators write."""

import json
from pathlib import Path

from apischema.json_schema import deserialization_schema

from balsamrail.configuration import Declaration
from balsamrail.settings import Settings

FOLDER = Path(__file__).resolve().parent.parent / 'schema'


def schema_texts() -> dict[str, str]:
    """Return the JSON Schema of each document by file name."""
    kinds = {'declaration.json': Declaration, 'settings.json': Settings}
    return {
        name: json.dumps(deserialization_schema(kind), indent=2) + '\n'
        for name, kind in kinds.items()
    }


def main() -> None:
    FOLDER.mkdir(exist_ok=True)
    for name, text in schema_texts().items():
        (FOLDER / name).write_text(text)


if __name__ == '__main__':
    main()
