Feature: The JSON Schemas in the repository match the code

  # Guards against outdated schemas in operators' editors after the types have changed.
  Scenario: The schema files are up to date
    Then writing the schemas again would change no file
