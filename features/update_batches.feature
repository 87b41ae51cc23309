Feature: Member updates that are sent at the same time share messages

  Scenario: Announcements of many hosts take few bytes
    Guards against the start of a fleet, or the return of a zone, that floods each announcement as
    a message of its own: traffic between regions is charged for.
    Given a fleet of 60 hosts that counts bytes
    When 60 hosts announce themselves again within 0.1 s
    Then every host knows all announcements 2 s later
    And they took at most a third of the bytes of single updates

  Scenario: A single update does not wait
    Guards against a host that stays in look-ups for longer, at each hop of the flood.
    Given a fleet of 9 hosts that counts bytes
    When 1 hosts announce themselves again within 0 s
    Then every host knows all announcements 0.1 s later

  Scenario: Updates keep their place before other messages
    Guards against a peer that compares its table by a digest before it has got the rows.
    When a host sends updates of hosts a, b, a, a digest and an update of host c within 0.01 s
    Then the peer gets the last updates of a and b before the digest and that of c after it

  Scenario: A stream that is closed sends the waiting updates
    Guards against a stopped host that the others only find gone by its silence.
    When a host sends updates of hosts a, b, c within 0.01 s and closes its streams
    Then the peer gets all of them

  Scenario: Any updates arrive as they were sent, and malformed ones close the stream
    Guards against one faulty host that changes or stops the tables of others.
    Then any updates that are packed are unpacked alike
    And packed updates that are truncated, changed or oversized are rejected
