Feature: A host that may have lost its share doesn't use it

  Scenario Outline: A holder wakes after its share was handed out again
    This guards against a paused holder that uses its old share until it reads the epoch, also if
    answers of before the pause wait for it.

    Given a frozen holder whose share was reclaimed and is in use at other hosts
    When it wakes while the store is <state> and gets requests for 20 seconds
    Then the requests it sheds come back after 1 second and the region stays within its share
    And with the store up it serves again within 20 seconds

    Examples:
      | state |
      | up    |
      | down  |

  Scenario: The store is down for minutes
    This guards against a fence that stops a fleet which only lacks the store, against a host that
    goes on while it is cut off, and against one that stays closed after its return.

    Given nine hosts with the store down
    Then no request is shed for 100 seconds
    And a host that is cut off sheds all after 31 seconds and serves 10 seconds after its return
    And a host that was frozen for 35 seconds sheds at first and serves after 10 seconds
