Feature: Customers and their API keys

  While the manifest has customers, requests are accepted by their API keys. Targets get the
  customer's name and never the key.

  Scenario: The customers of a manifest are read with their terms
    Guards against customers served on the terms of another one, or without limits.

    Given a manifest with customers on different terms
    When it is read
    Then each customer has its own keys, priority, quota and regions

  Scenario Outline: An unreadable customer entry is left out alone
    Guards against one faulty entry that locks all customers out, and against keys in the log.

    Given a host with a manifest in which one customer has <fault>
    When the other customer sends a request
    Then it is served, and the log names the faulty entry "<name>" without its values

    Examples:
      | fault                                  | name  |
      | a text instead of its keys             | wrong |
      | a number among its keys                | wrong |
      | a key with a lone surrogate            | wrong |
      | a priority that is a key               | wrong |
      | a negative priority                    | wrong |
      | a rate that is a key                   | wrong |
      | a negative burst                       | wrong |
      | a text instead of its regions          | wrong |
      | a list as its spec                     | wrong |
      | no spec                                | wrong |
      | no name                                |       |
      | an object as its name                  |       |
      | a line break in its name               |       |
      | a blank name                           |       |
      | the name of an earlier one             | acme  |
      | metadata that are a key                |       |

  Scenario: All customer entries are unreadable
    Guards against routes that are open to everyone since the entries have a fault.

    Given a host with a manifest in which the only customer is unreadable
    When a request without a key arrives
    Then it is answered 401 with the code "unknown_key"

  Scenario: Two customers have the same key
    Guards against requests that count for one customer at one host and for another one elsewhere.

    Given a host with a manifest in which two customers list the same key
    When a request with that key arrives
    Then it is served as the first one, and the log names both

  Scenario: A change of the manifest is parsed once
    Guards against hosts that serve nobody while they parse thousands of customers several times.

    Given a host whose manifest changes, and then becomes unreadable
    Then each of the manifests has been parsed once, and the last readable one is in force

  Scenario: A manifest that cannot be read is reported without its values
    Guards against API keys in the log line about a faulty manifest.

    When any manifest with a key in an odd place is read
    Then the error, if there is one, does not contain the key

  Scenario: A malformed update of a peer is reported without its values
    Guards against API keys in the log line about a message of another host.

    When a host gets a manifest with a key in malformed updates of a peer
    Then each error is that of a peer and does not contain the key

  Scenario Outline: Requests are accepted by their keys
    Guards against service without a key, and against a 401 that a newer manifest would not give.

    Given a host with customers whose manifest is <freshness>
    When a request for "<path>" arrives with <key>
    Then the outcome is "<outcome>" for the customer "<customer>"

    Examples:
      | path    | key             | freshness   | outcome              | customer |
      | /read/x | a known key     | confirmed   | 200                  | acme     |
      | /read/x | an older key    | confirmed   | 200                  | acme     |
      | /read/x | another scheme  | confirmed   | unknown_key          |          |
      | /read/x | odd letter case | confirmed   | 200                  | acme     |
      | /read/x | two keys        | confirmed   | unknown_key          |          |
      | /read/x | an unknown key  | confirmed   | unknown_key          |          |
      | /read/x | an empty key    | confirmed   | unknown_key          |          |
      | /read/x | no key          | confirmed   | unknown_key          |          |
      | /read/x | a customer name | confirmed   | unknown_key          |          |
      | /read/x | a known key     | unconfirmed | manifest_unconfirmed |          |
      | /read/x | an unknown key  | unconfirmed | manifest_unconfirmed |          |
      | /read/x | no key          | unconfirmed | manifest_unconfirmed |          |
      | /open/x | a known key     | confirmed   | 200                  | acme     |
      | /open/x | an unknown key  | confirmed   | 200                  |          |
      | /open/x | no key          | confirmed   | 200                  |          |
      | /open/x | a customer name | confirmed   | 200                  |          |
      | /open/x | no key          | unconfirmed | 200                  |          |
      | /open/x | an unknown key  | unconfirmed | 200                  |          |
      | /open/x | a known key     | unconfirmed | manifest_unconfirmed |          |
      | /none/x | an unknown key  | confirmed   | unknown_route        |          |

  Scenario: A host without a manifest answers that it is not ready
    Guards against a 401 for a key that the host cannot know yet.

    Given a host that has received no manifest
    When a request for "/read/x" arrives with a known key
    Then the outcome is "not_ready" for the customer ""

  Scenario: A request without a known key gets a challenge
    Guards against callers that cannot tell what the answer 401 asks for.

    When the answer to a request with an unknown key is encoded
    Then it has the status 401, names the scheme and promises that the request is refused

  Scenario: Keys and names with characters beyond ASCII
    Guards against customers that are locked out, or named wrongly, for the letters of their key or name.

    Given a host with a customer whose name and key have letters of several scripts
    When it sends a request with its key
    Then the target gets the name in UTF-8

  Scenario: A manifest without customers leaves the headers alone
    Guards against earlier deployments whose targets read these headers themselves.

    Given a host with a manifest without customers
    When a request with a key and a customer's name arrives
    Then the target gets both headers unchanged, and the log and the manifest line name no customer

  Scenario: The log names the customers of requests
    Guards against operators who cannot tell whose requests fail.

    Given a host with customers
    When requests of a customer are served and fail, and one with an unknown key is rejected
    Then the lines about the former name the customer, and the one about the latter does not

  Scenario: A manifest that is put in force reports its customers
    Guards against operators who do not see that all customers are gone.

    Given a host with customers
    Then the line about the manifest has their number

  Scenario Outline: The regions of a request
    Guards against requests that leave the home regions of their customer.

    Given a route confined to "<route>" and a customer to "<customer>"
    When a request of the customer is planned
    Then it may be processed in "<regions>"

    Examples:
      | route            | customer         | regions          |
      |                  |                  | anywhere         |
      | attiki           |                  | attiki           |
      |                  | attiki           | attiki           |
      | attiki,makedonia | makedonia,kriti  | makedonia        |
      | attiki           | makedonia        | nowhere          |

  Scenario: No region is left for a request
    Guards against an empty set of regions that counts as anywhere.

    Given a host and a peer, and a customer whose home region is none of the route
    When the customer sends a request
    Then it is rejected as "no_target", and neither a target nor the peer gets it

  Scenario: A customer's home region excludes targets
    Guards against bodies that leave the home region.

    Given a host with targets in two regions and a customer at home in the second
    When the customer sends several requests
    Then only the target of the second region gets them

  Scenario: The priority of a customer replaces that of the route
    Guards against urgent customers that are turned away like others.

    Given customers with and without a priority on a route with another one
    When requests of each are planned
    Then the customer's priority holds where there is one, and its route is made once

  Scenario: Customers share the split of a route
    Guards against weights that do not hold for all customers together, or that rejected requests shift.

    Given a route that is split over two services
    When customers send requests in turn, and requests without a key arrive between them
    Then the services get their shares of all accepted requests

  Scenario Outline: A request in progress follows the terms of its customer
    Guards against requests that fail or lose their customer since a key was withdrawn meanwhile.

    Given a request of a customer that has been planned
    When a manifest arrives <change>
    Then the request is planned again with the customer "<customer>" and the priority <priority>

    Examples:
      | change                                      | customer | priority |
      | without its key                             | acme     | 1        |
      | in which another customer has its key       | acme     | 1        |
      | with other terms                            | acme     | 5        |
      | without the customer                        | acme     | 1        |
      | without any customers                       | acme     | 1        |
      | without the route, with other terms         | acme     | 5        |
      | without the route and the customer          | acme     | 1        |

  Scenario: A customer's regions change while a request is in progress
    Guards against a second attempt outside the regions that the customer has now.

    Given a customer's request that fails at a target, whose manifest then leaves no common region
    When the request would be sent again
    Then no other target gets it

  Scenario: A key is withdrawn while a request is sent again
    Guards against keys that reach a target under a later manifest.

    Given a customer's request that fails at a target while the customers are withdrawn
    When the request would be sent again
    Then the second target gets the name and not the key

  Scenario: Customers come into force while a request is in progress
    Guards against keys that reach a target, or a sender that names itself, after customers are in force.

    Given a request with a key and a name that fails at a target while customers come into force
    When the request would be sent again
    Then the second target gets neither the key nor a name

  Scenario: A request is sent through another host
    Guards against keys that travel between hosts, and against hosts that cannot tell whose request it is.

    Given a host without paths to targets, and a peer
    When it sends a customer's request through the peer
    Then the peer gets the name in both headers and not the key

  Scenario: A request stays in the customer's home region on its way through another host
    Guards against bodies that another region receives.

    Given a host without paths to targets, with a peer in its region and one in the customer's home region
    When it sends a customer's request through a peer
    Then only the peer in the home region gets it

  Scenario: A peer that does not know the customer is not the last one asked
    Guards against requests that fail since one host has an older manifest.

    Given a host without paths to targets, whose near peer does not know the customer
    When it sends a customer's request through the peer
    Then the far peer serves it

  Scenario: Two hosts serve a customer together
    Guards against requests that a peer refuses, or serves without a name, since their key is gone.

    Given two hosts with customers, one of which has lost its paths to targets
    When it gets requests with a known key, without a key, and with a long header beside a known key
    Then the other one serves the former under the customer's name, and the one without a key is rejected

  Scenario Outline: A host gets a request from another host
    Guards against callers that name themselves a customer by way of another host.

    Given a host with customers
    When it gets a request from a <sender> with the handover "<handover>" and <key>
    Then the outcome is "<outcome>" for the customer "<customer>"

    Examples:
      | sender | handover                                 | key                       | outcome          | customer |
      | peer   | origin=b-1 attempts=2 customer=acme      | no key                    | 200              | acme     |
      | peer   | origin=b-1 attempts=2 customer=acme      | a key of another customer | 200              | acme     |
      | peer   | origin=b-1 attempts=2 customer=acme      | another name              | 200              | acme     |
      | peer   | origin=b-1 attempts=2 customer=nobody    | a known key               | unknown_customer |          |
      | peer   | origin=b-1 attempts=2                    | a known key               | 200              | acme     |
      | peer   | origin=b-1 attempts=2                    | an unknown key            | unknown_key      |          |
      | peer   | origin=b-1 attempts=2                    | a customer name           | unknown_key      |          |
      | caller | origin=b-1 attempts=2 customer=acme      | no key                    | unknown_key      |          |
      | caller | origin=b-1 attempts=2 customer=acme      | a key of another customer | 200              | brio     |

  Scenario: A host without customers gets a request of a customer from another host
    Guards against customers served without their terms by a host with an older manifest.

    Given a host with a manifest without customers
    When it gets a request from a peer with the handover "origin=b-1 attempts=2 customer=acme" and no key
    Then the outcome is "unknown_customer" for the customer ""

  Scenario: Names of customers pass between hosts unchanged
    Guards against names that a peer reads as another one, or that break the headers.

    When any customer's name is sent between hosts
    Then the other host reads the same name in the handover and in the header

  Scenario: Crashes of a request count for its customer
    Guards against requests that crash more targets with each new key or host.

    When the fingerprints of requests of customers are computed
    Then they are equal for all keys of a customer and at a peer, and differ between customers

  Scenario: Crashes of a request without a customer
    Guards against requests that escape the count of their crashes by a new header each time.

    When the fingerprints of requests without customers are computed
    Then the header tells callers apart only where targets get it

  Scenario: Keys stay out of the log and the pages of a process
    Guards against keys in log lines, pages or errors of a process, also after faulty manifests.

    Given two processes of entry with a store, a target and customers
    When they get requests with known, unknown and odd keys, a malformed manifest and malformed customers
    Then the requests with known keys are served, and no key is in an output, a page, an answer or at the target
