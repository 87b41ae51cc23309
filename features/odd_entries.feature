Feature: An odd entry in the store is lost alone

  Scenario Outline: A listing with an odd target is read without it
    Guards against hosts that end, or stop following the list, since another client wrote one odd entry (LOST).

    Given a store that lists a sound target beside one with <odd>
    When a host reads the store
    Then it uses the sound target alone, and reports the odd one once
    And it can pass on what it has read, and follows the next change

    Examples: Nesting and numbers
      | odd                                                  |
      | a spec nested 100,000 deep                           |
      | a spec nested 600 deep                               |
      | slots of 5,000 digits                                |
      | slots of 400 digits                                  |
      | slots of 2 to the power of 64                        |
      | born of 400 digits                                   |
      | born of 2 to the power of 64                         |
      | sequence of 2 to the power of 64                     |
      | warmupLeftS of 400 digits                            |
      | warmupLeftS of 1e308                                 |
      | warmupLeftS of NaN                                   |

    Examples: Texts
      | odd                                                  |
      | a port out of range                                  |
      | a port in digits that are not ASCII                  |
      | a port of 5,000 digits                               |
      | a service with a lone surrogate                      |
      | a version with a lone surrogate                      |
      | a zone with a lone surrogate                         |
      | a list for each field                                |

  Scenario Outline: A field that nobody reads does no harm
    Guards against a listing that is rejected for a field that has no meaning.

    Given a store that lists a sound target beside one with an unread field of <odd>
    When a host reads the store
    Then it uses the sound target
    And it can pass on what it has read, and follows the next change

    Examples:
      | odd                       |
      | arrays 100,000 deep       |
      | objects 100,000 deep      |
      | arrays 600 deep           |
      | 5,000 digits              |
      | 400 digits                |
      | 2 to the power of 64      |
      | a lone surrogate          |
      | a key with a surrogate    |
      | brackets in a text        |

  Scenario Outline: An odd object of another kind does no harm
    Guards against hosts without manifests, evacuations or peers since one object cannot be read.

    Given a store in which <object> is odd
    When a host reads the store
    Then it uses the sound target
    And it can pass on what it has read, and follows the next change

    Examples:
      | object                                     |
      | the name of a target                       |
      | the revision of a target                   |
      | an evacuation nested 100,000 deep          |
      | an evacuation of 5,000 digits              |
      | another manifest nested 100,000 deep       |
      | another manifest of 5,000 digits           |

  Scenario Outline: A watch with an odd event delivers the others
    Guards against a watch that goes on from the same revision for good, since its answer is rejected.

    Given a store whose next events have one with <odd> between two sound targets
    When a host reads the store and watches it
    Then it uses both targets, and has watched on from the revision of the events

    Examples:
      | odd                        |
      | no object                  |
      | an object without a name   |
      | a number in its place      |
      | a spec nested 100,000 deep |
      | a number of 5,000 digits   |
      | a revision of 400 digits   |

  Scenario Outline: A manifest that cannot be read leaves the one in force
    Guards against hosts that refuse all requests, or take no later change, after one odd manifest (CONFIG).

    Given a store with a manifest, whose next one has <odd>
    When a host reads the store, gets that one and then a sound one
    Then the first one stays in force until the sound one is, and the odd one is reported once

    Examples:
      | odd                                 |
      | resources nested 100,000 deep       |
      | a version of 5,000 digits           |
      | a version of 2 to the power of 64   |
      | a lone surrogate as a host name     |

  Scenario: A failure in a feed is logged and the feed goes on
    Guards against a host that stops following a kind without a word in its log.

    Given a view whose subscriber fails once
    When its feed gets an event, and later another one
    Then the log has the failure, and the feed delivers the later event

  Scenario Outline: An odd host in the list of hosts is skipped
    Guards against hosts that find no peers since another client wrote one odd entry.

    Given a store that lists a sound host beside one with <odd>
    When a host lists the hosts
    Then it finds the sound one alone

    Examples:
      | odd                            |
      | a spec nested 100,000 deep     |
      | an address of 5,000 digits     |
      | an address with a surrogate    |
      | a name with a surrogate        |
      | a port out of range            |
      | a list as its state            |

  Scenario Outline: An odd entry in a listing of a node's store is skipped
    Guards against nodes that read no list of hosts or blocks since another client wrote one odd entry.

    Given a node's store that lists a sound entry beside one with <odd>
    When a node lists its hosts and objects
    Then it finds the sound ones alone, and reports the odd ones once

    Examples:
      | odd                      |
      | arrays 100,000 deep      |
      | objects 100,000 deep     |
      | 5,000 digits             |
      | 2 to the power of 64     |
      | a lone surrogate         |
      | no fields                |
      | a number in its place    |
