"""Steps of schema.feature."""

from behave import then

from tools.write_schema import FOLDER, schema_texts


@then('writing the schemas again would change no file')
def step_schemas(context):
    written = {path.name: path.read_text() for path in FOLDER.glob('*.json')}
    assert written == schema_texts(), 'run: make schema'
