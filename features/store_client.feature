Feature: The store client tells exactly what became of a call

  # Guards against a lost write that is reported as done or as not done.
  Scenario Outline: Errors of a write against the stand-in
    Given a store with the fault <fault>
    When the client creates an object
    Then the write ends with <outcome>
    And the store holds <writes> write

    Examples:
      | fault        | outcome                  | writes |
      | none         | version 1                | 1      |
      | refused      | StoreUnavailableError    | 0      |
      | rate         | StoreUnavailableError    | 0      |
      | lost answer  | StoreOutcomeUnknownError | 1      |
      | down         | StoreOutcomeUnknownError | 0      |
      | slow         | StoreOutcomeUnknownError | 0      |
      | existing     | StoreConflictError       | 1      |
      | garbled write | StoreOutcomeUnknownError | 1      |

  # Guards against a read error that passes as an absent object.
  Scenario Outline: Errors of a read against the stand-in
    Given a store with the fault <fault>
    When the client reads an object
    Then the read ends with <outcome>

    Examples:
      | fault    | outcome               |
      | none     | None                  |
      | existing | {'a': 'é'}            |
      | refused  | StoreUnavailableError |
      | down     | StoreUnavailableError |
      | slow     | StoreUnavailableError |
      | rate     | StoreUnavailableError |
      | garbled  | StoreError            |

  # Guards against a watch that misses a change or polls.
  Scenario: A watch waits in one call and sees the change
    Then a watch returns the change that is made while it waits, with one call counted
    And a watch without a change returns nothing after its time

  # Guards against a lookup of hosts that does not show the platform's lag.
  Scenario: Listing of objects and hosts
    Then objects are listed by prefix and hosts with the lag that is set

  # Guards against a value that is cut or mangled on the way.
  Scenario: A value of nearly 1 MB passes and a larger one is refused
    Then a value of 999000 bytes is read back and one of 1000001 bytes is refused
