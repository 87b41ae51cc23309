Feature: The platform's store is met by its published protocol

  Background:
    Given the stand-in of the platform's store

  Scenario: Objects are created, replaced under a condition and removed
    When an object is created, replaced at its revision and removed
    Then each step is seen by a listing, and each repeated or outdated step is a conflict

  Scenario: Long listings are read to the end
    This guards against targets that are unknown because they are on the second page.

    When 1,203 objects are listed
    Then all are found

  Scenario: A watch tells of changes and ends without one
    When a kind is watched while an object is written, removed and then left alone
    Then the watch gives the write, the removal and nothing, in this order

  Scenario: History that is gone is told apart
    When the store forgets and a watch goes on from before
    Then the watch raises HistoryGoneError

  Scenario: What was not done and what may have been done are told apart
    This guards against a write that is repeated although it may have been done.

    When the store is busy, resets connections or loses the answers of writes
    Then reads raise StoreUnavailableError, refused writes too, and lost writes StoreOutcomeUnknownError

  Scenario: A silent store is given up
    When the store is silent
    Then a read raises StoreUnavailableError within the timeout of the settings
