Feature: The store client reports the exact outcome of each call

  # Guards against a write of unknown outcome that is reported as successful or as failed.
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

  # Guards against a read error that is reported as a missing object.
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

  # Guards against a watch that misses a change or polls the store.
  Scenario: A watch waits in a single call and reports the change
    Then a watch returns a change that is made while it waits, with a single call
    And a watch without a change returns nothing after its timeout

  # Guards against a host list that does not reflect the propagation delay of the platform.
  Scenario: Listing of objects and hosts
    Then objects are listed by prefix and hosts with the configured delay

  # Guards against values that are truncated or corrupted in transit.
  Scenario: A value of nearly 1 MB is accepted and a larger one is rejected
    Then a value of 999000 bytes is read back and one of 1000001 bytes is rejected

  # Guards against a stand-in that cannot lose what it acknowledged, so that no test shows the loss.
  Scenario: The stand-in comes back from a copy
    Then a stand-in that comes back from a copy twice loses later writes and raises its era

  # Guards against a write on a lost version that replaces another state which has the same version.
  Scenario: A conditional write after the store came back from a copy
    Then a write on a lost version conflicts when another write was given the same version
    And the versions that are read, written and listed are higher after the store came back

  # Guards against a watch that waits for a change which another version of the same number hides.
  Scenario: A watch from a version that the store has lost
    Then a watch from a lost version ends at once, also when its number was given out again
