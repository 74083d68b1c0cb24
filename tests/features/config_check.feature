Feature: A configuration is checked before it is sent

  Scenario: A sound configuration
    Given a configuration
    When the configuration is checked
    Then the check ends with status 0 and prints "errors: 0, warnings: 0; version 5"

  Scenario Outline: A configuration with <what> has a warning
    Given a configuration with <value> at <place>
    When the configuration is checked
    Then the check ends with status 1 and prints "warning <named>"

    Examples:
      | what                                | place                       | value                        | named                              |
      | a host with a port                  | routes/1/host               | "jobs.example:80"            | routes[1].host (r-2): no request   |
      | a prefix without a slash            | routes/1/pathPrefix         | "q"                          | routes[1].pathPrefix (r-2): no req |
      | a customer without a key            | tenants/1/apiKeys           | []                           | tenants[1] (beta)                  |
      | a service without a queue           | services/1                  | {"name": "idle"}             | services[1] (idle)                 |
      | a weight of 0                       | tenants/0/weight            | 0                            | tenants[0].weight (acme)           |
      | little for all customers together   | tenants/0/maxCount/cpu      | 499                          | tenants.maxCount.cpu               |
      | a timeout below a call              | routes/1/timeoutMs          | 5                            | routes[1].timeoutMs (r-2)          |
      | an objective below a call           | routes/1/targetLatencyMs    | 5                            | routes[1].targetLatencyMs (r-2)    |
      | a body limit that no entry accepts  | limits/maxBodyBytes         | 262145                       | limits.maxBodyBytes                |
      | a header limit below 256 bytes      | limits/maxHeaderBytes       | 255                          | limits.maxHeaderBytes              |
      | a header timeout above the idle one | limits/headerTimeoutMs      | 9001                         | limits.headerTimeoutMs             |

  Scenario: A queue that another one shadows
    Given a configuration with "/" at routes/0/pathPrefix
    And it has "" at routes/1/pathPrefix
    When the configuration is checked
    Then the check ends with status 1 and prints "warning routes[1] (r-2): no request"

  Scenario: All errors are found in one run, each at its place
    Given a configuration with {"name": 7} at services/1
    And it has "soon" at version
    And it has -1 at limits/maxBodyBytes
    And it has "none" at routes/0/service
    And it has "/q/" at routes/1/pathPrefix
    And it has ["key of acme"] at tenants/1/apiKeys
    When the configuration is checked
    Then the check ends with status 2 and has errors 601 at just these places
      | place                |
      | version              |
      | limits.maxBodyBytes  |
      | services[1].name     |
      | routes[0]            |
      | routes[1]            |
      | tenants[1]           |

  Scenario: Differences from the version in force, without any key
    Given a configuration
    And a scheduler that answers "GET /config" with it
    And it has 6 at version
    And it has 4000.1 at routes/1/timeoutMs
    And it has ["key of acme", "new key"] at tenants/0/apiKeys
    And it has "gamma" at tenants/1/name
    When it is compared with the version in force
    Then the check ends with status 1 and prints these lines
      | line                                                              |
      | changed routes[1].timeoutMs (r-2): 3000 -> 4000.1                 |
      | changed tenants[0].apiKeys (acme): 2 -> 2, 1 added (              |
      | new     tenants[1] (gamma)                                        |
      | gone    tenants (beta)                                            |
      | warning tenants.apiKeys (acme): 1 of 2 keys are removed           |
      | errors: 0, warnings: 1, changes: 4; version 6, in force 5         |
    And the scheduler got just one request, "GET /config"
    And neither the text nor the JSON has a key

  Scenario: A version that is not higher has no effect
    Given a configuration
    And a scheduler that answers "GET /config" with it
    When it is compared with the version in force
    Then the check ends with status 2 and prints "error   version: 5 is not higher"

  Scenario Outline: <what> cannot be read
    Given a configuration
    When the check is called with <options>
    Then the check ends with status <status> and one line on standard error

    Examples:
      | what                   | options                            | status |
      | A missing file         | /nowhere                           | 3      |
      | A folder               | /                                  | 3      |
      | An unreachable address | FILE --against=127.0.0.1:1         | 3      |
      | A missing version      | FILE --against=/nowhere            | 3      |
      | An empty version       | FILE --against=/dev/null           | 3      |
      | An unknown format      | FILE --format=xml                  | 3      |
      | A misspelt option      | FILE --aginst=127.0.0.1:1          | 2      |
      | No file                | --format=text                      | 2      |

  Scenario Outline: A scheduler that answers with <what>
    Given a configuration
    And a scheduler that answers "GET /config" with <what>
    When it is compared with the version in force
    Then the check ends with status 3 and one line on standard error

    Examples:
      | what                   |
      | status 503             |
      | a redirect             |
      | half of it             |
      | more than 8 MiB        |

  Scenario: Documents of the allowed size are checked in time
    Then 1400 queues and 10000 keys are checked within 1 second
    And a document of 8 MiB and a byte is refused with code 205
    And of a document of 2700000 broken rows, 10000 errors are printed

  Scenario: Odd documents never end the check, and the server agrees
    Then 300 odd documents from seed 1 have errors just if the server refuses them
    And each odd configuration has an error, and no output has a key

  Scenario: Every broken row is named
    Then 100 documents with random broken rows from seed 2 have errors at these rows

  Scenario: A queue is shadowed just if no request reaches it
    Then 200 random sets of queues from seed 3 agree with the choice of queues

  Scenario: Equal configurations have no difference, and others do
    Then 200 random pairs of configurations from seed 4 are told apart
