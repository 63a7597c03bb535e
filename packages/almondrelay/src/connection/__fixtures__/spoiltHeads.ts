const FIELDS = 'Content-Length: 6'
const BODY = 'spoilt'

const makeAnswer = (statusLine: string, fields: string = FIELDS): string => `${statusLine}\r\n${fields}\r\n\r\n${BODY}`
const withField = (line: string): string => makeAnswer('HTTP/1.1 200 OK', `${line}\r\n${FIELDS}`)

/** Answers whose heads RFC 9112 doesn't allow, by what is wrong with them. None may be taken for an answer. */
export const spoiltHeads: Record<string, string> = {
  'status 000': makeAnswer('HTTP/1.1 000 OK'),
  'status 099': makeAnswer('HTTP/1.1 099 OK'),
  'status 600': makeAnswer('HTTP/1.1 600 OK'),
  'status 999': makeAnswer('HTTP/1.1 999 OK'),
  'status of two digits': makeAnswer('HTTP/1.1 20 OK'),
  'status of four digits': makeAnswer('HTTP/1.1 2000 OK'),
  'negative status': makeAnswer('HTTP/1.1 -200 OK'),
  'status with a letter': makeAnswer('HTTP/1.1 2x0 OK'),
  'no status': makeAnswer('HTTP/1.1'),
  'status behind a tab': makeAnswer('HTTP/1.1\t200 OK'),
  'HTTP/2.0': makeAnswer('HTTP/2.0 200 OK'),
  'HTTP/3.0': makeAnswer('HTTP/3.0 200 OK'),
  'HTTP/0.9': makeAnswer('HTTP/0.9 200 OK'),
  'another protocol': makeAnswer('ICY 200 OK'),
  'lower case': makeAnswer('http/1.1 200 OK'),
  'NUL in the reason phrase': makeAnswer('HTTP/1.1 200 O\0K'),
  'control byte in the reason phrase': makeAnswer('HTTP/1.1 200 O\x01K'),
  'DEL in the reason phrase': makeAnswer('HTTP/1.1 200 O\x7fK'),
  'CR in the reason phrase': makeAnswer('HTTP/1.1 200 O\rK'),
  'blank in a name': withField('X-A B: 1'),
  'blank behind a name': withField('X-A : 1'),
  'tab in a name': withField('X-A\tB: 1'),
  'NUL in a name': withField('X-\0A: 1'),
  'control byte in a name': withField('X-\x01A: 1'),
  'DEL in a name': withField('X-\x7fA: 1'),
  'byte beyond ASCII in a name': withField('X-\xe9A: 1'),
  'separator in a name': withField('X(A): 1'),
  'empty name': withField(': 1'),
  'no colon': withField('X-A'),
  'NUL in a value': withField('X-A: 1\x002'),
  'control byte in a value': withField('X-A: 1\x012'),
  'DEL in a value': withField('X-A: 1\x7f2'),
  'CR in a value': withField('X-A: 1\r2'),
  'length with a blank in its name': makeAnswer('HTTP/1.1 200 OK', 'Content Length: 6'),
  'length with a blank behind its name': makeAnswer('HTTP/1.1 200 OK', 'Content-Length : 6'),
  'length with a control byte in its name': makeAnswer('HTTP/1.1 200 OK', 'Content\x01-Length: 6'),
  'two lengths': makeAnswer('HTTP/1.1 200 OK', 'Content-Length: 6\r\nContent-Length: 3'),
  'list of lengths': makeAnswer('HTTP/1.1 200 OK', 'Content-Length: 6, 3'),
  'negative length': makeAnswer('HTTP/1.1 200 OK', 'Content-Length: -6'),
  'length that is no number': makeAnswer('HTTP/1.1 200 OK', 'Content-Length: six'),
  'length with a sign': makeAnswer('HTTP/1.1 200 OK', 'Content-Length: +6'),
  'no status line': `${FIELDS}\r\n\r\n${BODY}`
}
