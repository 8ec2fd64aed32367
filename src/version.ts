/** The version of both programs; a test compares it with package.json. */
export const VERSION = '0.1.0';
