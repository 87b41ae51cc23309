Feature: Lookup responses contain hosts that callers may use

  Scenario: The compact block map is used with random blocks, changes and parts
    Guards against a block that is mapped to the site of an adjacent block.
    When random block maps are built, packed into parts and changed
    Then each agrees with a plain dict on every block

  Scenario: A truncated part of the block map is read
    Guards against a partially read store object that maps callers to wrong sites.
    Then each truncation of a packed part is rejected or contains only complete groups

  Scenario: The block map has 3.5 million blocks
    Guards against a map that uses the memory reserved for the control plane.
    Then 3500000 blocks take at most 7.5 MB and parts below 933334 base64 bytes

  Scenario: A caller of an unknown block looks up a service
    Guards against the rejection of IPv6 callers and new blocks.
    Given a lookup table with hosts in 2 regions
    Then the region of "192.0.2.7", "2001:db8::1" and "" of an empty map is the host's region

  Scenario: A host starts leaving
    Guards against lookup responses that contain a host that is about to stop.
    Given a lookup table with hosts in 2 regions
    When each host in turn is marked as leaving right after a lookup response contained it
    Then no lookup response to any caller contains it

  Scenario: The region of the first hosts is lost
    Guards against callers that know only hosts of one availability zone or region.
    Given a lookup table with hosts in 2 regions
    Then every lookup response has at most 5 hosts, at most 3 of one availability zone, nearest region first

  Scenario: Many callers look up the same service
    Guards against all callers using the same host first.
    Given a lookup table with hosts in 2 regions
    Then over 2000 client blocks no host of the region is first for more than twice its equal share

  Scenario: A lookup response contains key prefixes
    Guards against keys that expire while the caller may still retry.
    Given a lookup table with hosts in 2 regions
    Then the key prefix is host, incarnation and an expiry 605 s ahead
