# Starts the load balancer within the memory limit of its configuration, limits.memory_mb. Sourced by `run` in balancer.toml. The
# shell replaces itself with the Java VM; it may neither fork nor start another program, so it reads the limit with builtins only.
memory_mb=
while read -r line || [ -n "$line" ]; do
  case $line in
    *'"memory_mb"'*)
      memory_mb=${line#*'"memory_mb"'}
      memory_mb=${memory_mb#"${memory_mb%%[!: ]*}"}
      memory_mb=${memory_mb%%[!0-9]*}
      break ;;
  esac
done < "${ROUTER_CONFIG:-/dev/null}"
# A limit that is missing, not a positive integer, or larger than the memory of any machine is replaced by 192 MB, the program's
# default for a missing limit.
case $memory_mb in ''|0*|???????*) memory_mb=192 ;; esac

# Besides heap and direct buffers, the VM uses about 60 MB for its class archives, compiled code and stacks. Half of the rest is
# heap, 12 to 64 MB; all heap pages are touched at startup so that memory use does not grow later. An eighth of the limit, 4 MB at
# least, is for direct buffers, which Netty allocates in chunks of 512 KiB (8 KiB * 2^6): not even one chunk of the usual 4 MB fits
# into the smallest share.
heap_mb=$(( (memory_mb - 64) / 2 ))
heap_mb=$(( heap_mb < 12 ? 12 : heap_mb > 64 ? 64 : heap_mb ))
direct_mb=$(( memory_mb < 32 ? 4 : memory_mb / 8 ))

# With access to the constructor of direct buffers Netty takes their memory itself, and where none is left fails at once. The VM would
# collect garbage and sleep for half a second first, on the event loop.

exec java -XX:SharedArchiveFile=target/load-balancer.jsa -XX:+UseSerialGC -XX:TieredStopAtLevel=1 \
  -XX:CompileThresholdScaling=0.5 -Xms${heap_mb}m -Xmx${heap_mb}m -XX:+AlwaysPreTouch -XX:MaxDirectMemorySize=${direct_mb}m \
  -Dio.netty.maxDirectMemory=$(( direct_mb << 20 )) --add-opens=java.base/java.nio=ALL-UNNAMED \
  -Dio.netty.tryReflectionSetAccessible=true \
  -XX:MaxMetaspaceSize=32m -XX:ReservedCodeCacheSize=16m -Xss512k -XX:-UsePerfData -Dio.netty.jfr.enabled=false \
  -Dio.netty.leakDetection.level=disabled -Dio.netty.allocator.type=pooled -Dio.netty.allocator.numHeapArenas=1 \
  -Dio.netty.allocator.numDirectArenas=1 -Dio.netty.allocator.maxOrder=6 -XX:+ExitOnOutOfMemoryError -jar target/load-balancer.jar serve
