Feature: The JSON Schemas in the repository fit the code

  # Guards against a schema that operators' editors use after the types have changed.
  Scenario: The schema files are up to date
    Then writing the schemas again would change no file
