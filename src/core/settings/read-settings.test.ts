import { describe, it } from 'node:test';
import { expect } from 'earl';
import { z } from 'zod';
import { ErrorKind } from '../errors/index.ts';
import { addressSchema, checkValue, parseYaml, portSchema } from './index.ts';
import { catchError } from '../errors/fixtures/catch-error.ts';

const schema = z.strictObject({
  listen: z.strictObject({ address: addressSchema, port: portSchema }),
});

interface Case {
  title: string;
  text: string;
  expected: string;
}

// Guards against error messages that do not say where in the settings file the error is.
const cases: Case[] = [
  {
    title: 'names the path of a wrong value',
    text: 'listen: { address: localhost, port: 80 }',
    expected: 'entry.yaml: listen.address: must be an IP address, such as 10.0.0.1',
  },
  {
    title: 'names an unknown key',
    text: 'listen: { address: 127.0.0.1, port: 80 }\nlitsen: 1',
    expected: 'Unrecognized key: "litsen"',
  },
  {
    title: 'names the line of a syntax error',
    text: 'listen:\n  address: [',
    expected: 'entry.yaml: line 2',
  },
  {
    title: 'refuses a duplicate key',
    text: 'listen: 1\nlisten: 2',
    expected: 'Map keys must be unique',
  },
];

describe('checkValue', () => {
  for (const testCase of cases) {
    it(testCase.title, () => {
      const run = (): unknown => {
        const value = parseYaml('entry.yaml', testCase.text, ErrorKind.SettingsInvalid);
        return checkValue('entry.yaml', value, schema, ErrorKind.SettingsInvalid);
      };
      expect(catchError(run)).toEqual(
        expect.subset({ message: expect.includes(testCase.expected) }),
      );
    });
  }
});
