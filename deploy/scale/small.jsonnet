// The size that the tests run: whintrail scale run deploy/scale/small.jsonnet
{
  version: 1,
  sizes: [
    {
      name: 'small',
      gateways: 12,
      engines: 40,
      council: 3,
      processes: 1,
      days: [
        { act: 'steady', seconds: 3 },
        { act: 'changes', seconds: 4, rate: 7.4 },
      ],
    },
  ],
}
