Feature: The mutants of ``make mutants`` fit the code

  Scenario: Each mutant changes the file that it names
    Guards against mechanisms that no longer have a mutant, since the code has changed.

    When the mutants are compared with the code
    Then each replaces text that its file contains
    And each runs a feature that exists
