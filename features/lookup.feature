Feature: Look-ups name hosts that callers may use

  Scenario: The dense block map is used at random blocks, changes and parts
    Guards against a block that gets the site of its neighbour.
    When random block maps are built, packed into parts and changed
    Then each agrees with a plain dict on every block

  Scenario: A cut off part of the block map is read
    Guards against a half-read store object that sends callers to wrong sites.
    Then each cut of a packed part is refused or holds only whole groups

  Scenario: The block map has 3.5 million blocks
    Guards against a map that takes the memory that control may use.
    Then 3500000 blocks take at most 7.5 MB and parts below 933334 base64 bytes

  Scenario: A caller without a known block looks up a service
    Guards against IPv6 callers and new blocks being refused.
    Given a look-up table with hosts in 2 regions
    Then the region of "192.0.2.7", "2001:db8::1" and "" of an empty map is the host's own

  Scenario: A host begins to leave
    Guards against look-ups that name a host which is about to stop.
    Given a look-up table with hosts in 2 regions
    When each host in turn is marked as leaving right after a look-up named it
    Then no look-up of any caller names it

  Scenario: The region of the first hosts is lost
    Guards against callers that know hosts of one availability zone or region only.
    Given a look-up table with hosts in 2 regions
    Then every look-up names at most 5 hosts at most 3 of one availability zone, nearest region first

  Scenario: Many callers look up the same service
    Guards against all callers going to the same host first.
    Given a look-up table with hosts in 2 regions
    Then over 2000 client blocks no host of the region is first for more than twice its part

  Scenario: A look-up gives key prefixes
    Guards against keys that expire before the caller may stop resending.
    Given a look-up table with hosts in 2 regions
    Then the key prefix is host, incarnation and an expiry 605 s ahead
