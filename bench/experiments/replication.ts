export const replication = {
  name: 'replication',
  summary: '',
  run: async () => ({figures: {}, broken: []}),
};
