import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createError, ERROR_DATA, ErrorKind, isServingError } from './index.ts';

describe('ERROR_DATA', () => {
  for (const kind of Object.values(ErrorKind)) {
    // Guards against an error that says what is wrong but not what to do about it.
    it(`has a name, a title, a message and a hint for ${kind}`, () => {
      const data = ERROR_DATA[kind];
      const texts = [data.name, data.title, data.message, data.hint];
      expect(texts.every((text) => text.length > 0)).toEqual(true);
    });
  }
});

describe('createError', () => {
  it('fills the message from the details and appends the hint', () => {
    const error = createError(ErrorKind.RequestInvalid, { path: 'prompt', problem: 'is missing' });
    expect(error.message).toEqual('prompt: is missing Correct the request; it was not run.');
    expect(isServingError(error, ErrorKind.RequestInvalid)).toEqual(true);
    expect(isServingError(error, ErrorKind.NoTarget)).toEqual(false);
  });
});
