export const membership = {
  name: 'membership',
  summary: '',
  run: async () => ({figures: {}, broken: []}),
};
