Feature: The client follows the published protocol of the platform's store

  Background:
    Given the stand-in of the platform's store

  Scenario: Objects are created, conditionally replaced and removed
    When an object is created, replaced at its revision and removed
    Then a listing shows each step, and each repeated or outdated step is a conflict

  Scenario: All pages of a long listing are read
    Guards against targets that are unknown because they are on the second page.

    When 1,203 objects are listed
    Then all are found

  Scenario: A change between two pages of a listing is not lost
    Guards against a target that keeps its old state on a host that was just listing the store.

    When an object of the first page is replaced and one is removed while the second page is read
    Then a watch from the revision of the listing returns both changes

  Scenario: A watch returns changes and ends if there are none
    When a kind is watched while an object is written, removed and then left alone
    Then the watch returns the write, the removal and nothing, in this order

  Scenario: A discarded history has its own error
    When the store discards its history and a watch continues from an older revision
    Then the watch raises HistoryGoneError

  Scenario: A store that comes back from an older copy loses what was written since
    Guards against a stand-in that keeps what the platform's store loses, which would hide failures.

    When the stand-in comes back from a copy between two writes, and a watch continues
    Then revisions go back and are given out again, and a watch from one that was lost raises HistoryGoneError
    And every answer has the era, which has risen by one

  Scenario: A listing whose pages are from two eras of the store is not used
    Guards against a view in which objects that the store has lost count as listed.

    When the store comes back from a copy while the second page is read
    Then the listing raises StoreError

  Scenario: An era that cannot be read is no failure
    Guards against hosts that are without targets since a header of the store is missing.

    When answers of the store have no era or one that is not a number
    Then the revisions have the era 0

  Scenario: Writes that were not executed and writes with an unknown outcome have different errors
    Guards against a repetition of a write that may have been executed.

    When the store is busy, resets connections or loses the answers of writes
    Then reads raise StoreUnavailableError, refused writes too, and lost writes StoreOutcomeUnknownError

  Scenario: A call to a store that does not respond times out
    When the store does not respond
    Then a read raises StoreUnavailableError within the timeout of the settings

  Scenario: A host that restarts does not register again
    Guards against two writes for each of the hosts that are restarted daily.

    When a host starts for the first time, restarts, and restarts with another address
    Then it makes 1 write, 1 stale read, and 1 stale read and 2 writes
    And its entry has the new address

  Scenario: A loss that two hosts record costs one write
    Guards against two or more writes for each host that is lost, of which one is enough.

    When two hosts record a loss, then both record two, and one after the record has become unreadable
    Then they make 1, 1 and 1 writes, and a host reads the losses

  Scenario: A store that has lost a record still shows it in old answers
    Guards against a loss that is not recorded again, so that a host that is cut off alone takes all
    others for lost.

    Given a host that has recorded a loss
    When the store comes back from a copy without the record, while stale reads still show it
    Then the host records the loss again
