Feature: A host whose share may have been reclaimed does not use it

  Scenario Outline: A holder resumes after its share was reassigned
    This guards against a paused holder that uses its old share until it reads the epoch, also if
    replies from before the pause are delivered when it resumes.

    Given a frozen holder whose share was reclaimed and is in use at other hosts
    When it resumes while the store is <state> and receives requests for 20 seconds
    Then shed requests get a retry delay of 1 second and the region stays within its share
    And with the store up it serves again within 20 seconds

    Examples:
      | state |
      | up    |
      | down  |

  Scenario: A store outage of several minutes
    This guards against a fence that stops the fleet during a mere store outage, against a host
    that continues while isolated, and against one that stays suspended after its return.

    Given nine hosts with the store down
    Then no request is shed for 100 seconds
    And an isolated host sheds all requests after 31 seconds and serves 10 seconds after its return
    And a host that was frozen for 35 seconds sheds at first and serves after 10 seconds
