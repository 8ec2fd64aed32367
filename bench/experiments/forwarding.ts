export const forwarding = {
  name: 'forwarding',
  summary: '',
  run: async () => ({figures: {}, broken: []}),
};
