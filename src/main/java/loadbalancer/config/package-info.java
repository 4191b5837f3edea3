/**
 * The configuration that the platform hands to a load balancer: the file of one instance ({@link
 * loadbalancer.config.BalancerConfig}) and the settings of its decisions ({@link
 * loadbalancer.config.SettingsDecoder}), which the simulator hands over in the same form.
 */
package loadbalancer.config;
