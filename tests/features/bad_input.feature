@fixture.one_cell
Feature: Invalid input is refused with a result code, and nothing is run

  Scenario Outline: A contract that is <what>
    When the contract <contract> is submitted
    Then the code is <code>
    And nothing was started, and the entry still serves

    Examples:
      | what                 | contract                                      | code |
      | not JSON             | {"team"                                       | 201  |
      | not an object        | [1]                                           | 201  |
      | of an unknown field  | {"team":"patio","colour":"red"}               | 202  |
      | of a negative size   | {"team":"patio","size":{"cpus":-1}}           | 203  |
      | of an absurd size    | {"team":"patio","size":{"cpus":99999999999}}  | 203  |
      | of a size in words   | {"team":"patio","size":{"cpus":"two"}}        | 203  |
      | of an unknown size   | {"team":"patio","size":{"gpus":1}}            | 202  |
      | of no tasks          | {"team":"patio","count":0}                    | 203  |
      | of too many tasks    | {"team":"patio","count":1000000}              | 203  |
      | of an unknown team   | {"team":"nadie"}                              | 206  |
      | of no team           | {}                                            | 206  |
      | of an unknown kind   | {"team":"patio","kind":"cron"}                | 207  |
      | of unknown priority  | {"team":"patio","priority":"max"}             | 207  |
      | of a bad deadline    | {"team":"patio","deadline":-1}                | 209  |
      | of a NaN deadline    | {"team":"patio","deadline":NaN}               | 209  |
      | of a bad flag        | {"team":"patio","repeatable":"no"}            | 209  |
      | of an id with spaces | {"team":"patio","id":"a b"}                   | 204  |
      | never to fit         | {"team":"patio","size":{"cpus":900000}}       | 301  |
      | a gang never to fit  | {"team":"patio","kind":"gang","count":999}    | 301  |

  Scenario: An over-long id
    When a contract with an id of 129 characters is submitted
    Then the code is 204

  Scenario: A body over the limit
    When a contract with a body over the limit is submitted
    Then the code is 205
    And nothing was started, and the entry still serves

  Scenario: An id that was used for another request
    When {"team":"patio","id":"uno"} was submitted and answered
    And the contract {"team":"patio","id":"uno","count":2} is submitted
    Then the code is 208

  Scenario Outline: An announcement that is <what>
    When a target announces <document>
    Then the code is <code>

    Examples:
      | what          | document | code |
      | not JSON      | {        | 201  |
      | not typed     | {"a":1}  | 201  |

  Scenario: The report counts an entry's refusals
    When the contract {"team":"nadie"} is submitted
    Then the report counts a refusal with code 206

  Scenario: A port that is in use
    When another entry is started at the same port
    Then it ends with status 1 and code 702
