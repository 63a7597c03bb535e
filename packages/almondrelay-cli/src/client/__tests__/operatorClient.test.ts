import { spoiltHeads, SpoiltServer } from 'almondrelay/testing'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { OperatorClient } from '../operatorClient.js'

const test = suite('OperatorClient')

// Guards against a damaged answer of a host that an operator takes for the outcome of a write.
for (const [name, answer] of Object.entries(spoiltHeads).filter(([each]) => /^status \d{3}$/.test(each))) {
  test(`an answer with a damaged status is lost: ${name}`, async () => {
    const server = await SpoiltServer.start(answer.replace('Content-Length: 6', 'Content-Length: 2').replace('spoilt', '{}'))
    const client = new OperatorClient([`127.0.0.1:${server.port}`], new AbortController().signal)
    assert.is(await client.write({ method: 'PUT', path: '/v1/resources/Region/akl', body: {} }), undefined)
    server.close()
  })
}

test.run()
